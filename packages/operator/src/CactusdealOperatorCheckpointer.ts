import type { Platform } from '@cactusdeal/platform';
import type { SlotHolder } from '@cactusdeal/schema';
import { type Clock, type Log, type Random, waitMs } from '@cactusdeal/shared';
import {
  type CheckpointLimits,
  type CheckpointSource,
  createCheckpointWriter,
} from './CactusdealOperatorCheckpoint.js';
import { CHECKPOINT_WRITER_KEY } from './CactusdealOperatorKeys.js';
import { startSlotLease } from './CactusdealOperatorSlot.js';

export interface CheckpointerOptions {
  readonly platform: Platform;
  readonly source: CheckpointSource;
  readonly holder: SlotHolder;
  /** Whether this daemon is a reader of its data centre now; only readers write checkpoints. */
  readonly isReader: () => boolean;
  /** Time after which the writer's lease expires unless it is renewed, in milliseconds. */
  readonly leaseMs: number;
  /** Mean time between two attempts to write, in milliseconds. */
  readonly intervalMs: number;
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly log: Log;
  readonly random?: Random;
  readonly limits?: CheckpointLimits;
}

/**
 * Updates the checkpoint in the platform to the newest version at intervals, until the signal
 * aborts. A lease selects one writer among the readers of all data centres. The lease only saves
 * calls: two writers at once do no harm, because the manifest is replaced by compare-and-swap.
 * Without a new version the only calls are those for the lease.
 */
export async function runCheckpointer(options: CheckpointerOptions): Promise<void> {
  const { platform, source, intervalMs, signal, log } = options;
  const random = options.random ?? Math.random;
  const writer = createCheckpointWriter(platform, source, options.limits);
  const lease = startSlotLease({
    ...options,
    keys: [CHECKPOINT_WRITER_KEY],
    isCandidate: options.isReader,
  });
  let coveredVersion = 0;
  while (!signal.aborted) {
    await waitMs(intervalMs * (0.5 + random()), signal);
    const isDue = lease.isHolding() && source.getHeadVersion() > coveredVersion;
    if (signal.aborted || !isDue) continue;
    const result = await writer.write();
    coveredVersion = result.map(({ headVersion }) => headVersion).orDefault(coveredVersion);
    result
      .ifRight((report) => log.info('checkpoint-written', { ...report }))
      .ifLeft(({ message }) => log.warn('checkpoint-failed', { message }));
  }
  await lease.close();
}
