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
  /** Whether this daemon reads for its data centre now; only readers try to write checkpoints. */
  readonly isReader: () => boolean;
  /** Life of the writer's lease without a renewal, in milliseconds. */
  readonly leaseMs: number;
  /** Mean time between two turns, in milliseconds. */
  readonly intervalMs: number;
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly log: Log;
  readonly random?: Random;
  readonly limits?: CheckpointLimits;
}

/**
 * Brings the platform's checkpoint up to the head, turn by turn, until the signal aborts. One reader
 * of all data centres does so, by a lease that is for economy only: two writers at once waste calls
 * and change nothing. Without a new version there are no calls beside the lease's.
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
