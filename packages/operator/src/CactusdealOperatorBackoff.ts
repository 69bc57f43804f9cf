import { type Random, waitMs } from '@cactusdeal/shared';

/** Waits that grow with each failure in a row, with full jitter. */
export interface Backoff {
  /** Waits after a failure; ends early when the signal aborts. */
  wait(signal: AbortSignal): Promise<void>;
  /** Starts over after a success. */
  reset(): void;
}

const FACTOR = 2;

/**
 * Creates a backoff whose n-th wait is uniform between 0 and `firstMs` doubled n times, at most
 * `mostMs`: https://aws.amazon.com/blogs/architecture/exponential-backoff-and-jitter/
 */
export function createBackoff(firstMs: number, mostMs: number, random: Random): Backoff {
  let ceilingMs = firstMs;
  return {
    wait: async (signal) => {
      const durationMs = random() * ceilingMs;
      ceilingMs = Math.min(mostMs, ceilingMs * FACTOR);
      await waitMs(durationMs, signal);
    },
    reset: () => {
      ceilingMs = firstMs;
    },
  };
}
