import type { SlotLease } from '@cactusdeal/operator';
import { type Log, waitMs } from '@cactusdeal/shared';

/**
 * A task that runs until its signal aborts; run only while this daemon is a reader of its data
 * centre.
 */
export type ReaderTask = (signal: AbortSignal) => Promise<void>;

/** Runs tasks while this daemon holds a reader lease of its data centre. */
export interface ReaderRole {
  /** Whether the tasks run now. */
  isReading(): boolean;
  /** Stops the tasks, waits for their end and releases the lease. */
  close(): Promise<void>;
}

const LEASE_CHECK_INTERVAL_MS = 200;

/**
 * Starts the role: the tasks run while the lease is held. The lease only limits the number of readers.
 * A reader whose process was paused until its lease had lapsed is harmless: log entries are immutable
 * and each write is a compare-and-swap.
 */
export function startReaderRole(options: {
  readonly lease: SlotLease;
  readonly tasks: readonly ReaderTask[];
  readonly log: Log;
}): ReaderRole {
  const { lease, tasks, log } = options;
  const closing = new AbortController();
  let areTasksRunning = false;
  const loop = runLoop();

  async function runLoop(): Promise<void> {
    while (!closing.signal.aborted) {
      if (lease.isHolding()) await runTasks();
      await waitMs(LEASE_CHECK_INTERVAL_MS, closing.signal);
    }
  }

  async function runTasks(): Promise<void> {
    const session = new AbortController();
    const running = tasks.map((task) => task(session.signal));
    areTasksRunning = true;
    log.info('reader-started');
    while (!closing.signal.aborted && lease.isHolding()) {
      await waitMs(LEASE_CHECK_INTERVAL_MS, closing.signal);
    }
    session.abort();
    await Promise.all(running);
    areTasksRunning = false;
    log.info('reader-stopped');
  }

  return {
    isReading: () => areTasksRunning,
    close: async () => {
      closing.abort();
      await loop;
      await lease.close();
    },
  };
}
