import type { SlotLease } from '@cactusdeal/operator';
import { type Log, waitMs } from '@cactusdeal/shared';

/** A part that runs only while this daemon is a reader of its data centre. */
export type ReaderTask = (signal: AbortSignal) => Promise<void>;

/** The part of this daemon that reads the platform for its data centre. */
export interface ReaderRole {
  isReading(): boolean;
  /** Ends the reading and gives the lease back. */
  close(): Promise<void>;
}

const LEASE_CHECK_MS = 200;

/**
 * Starts the role: while the lease is held, the tasks run. The lease only keeps the number of
 * readers small; one that was paused past its lease does no harm, because what it reads is immutable
 * and each write is a compare-and-swap.
 */
export function startReaderRole(options: {
  readonly lease: SlotLease;
  readonly tasks: readonly ReaderTask[];
  readonly log: Log;
}): ReaderRole {
  const { lease, tasks, log } = options;
  const stop = new AbortController();
  let reading = false;
  const role = runRole();

  async function runRole(): Promise<void> {
    while (!stop.signal.aborted) {
      if (lease.isHolding()) await runTasks();
      await waitMs(LEASE_CHECK_MS, stop.signal);
    }
  }

  async function runTasks(): Promise<void> {
    const session = new AbortController();
    const running = tasks.map((task) => task(session.signal));
    reading = true;
    log.info('reader-started');
    while (!stop.signal.aborted && lease.isHolding()) {
      await waitMs(LEASE_CHECK_MS, stop.signal);
    }
    session.abort();
    await Promise.all(running);
    reading = false;
    log.info('reader-stopped');
  }

  return {
    isReading: () => reading,
    close: async () => {
      stop.abort();
      await role;
      await lease.close();
    },
  };
}
