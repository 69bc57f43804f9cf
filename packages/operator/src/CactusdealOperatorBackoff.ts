import { type Random, waitMs } from '@cactusdeal/shared';

/** Exponential backoff with full jitter. */
export interface Backoff {
  /** Waits after a failure; resolves early when the signal aborts. */
  wait(signal: AbortSignal): Promise<void>;
  /** Returns to the initial wait after a success. */
  reset(): void;
}

const GROWTH_FACTOR = 2;

/**
 * Creates a backoff. Each wait is drawn uniformly between 0 and a ceiling, which starts at
 * `initialMs` and doubles with each failure up to `maxMs`, all in milliseconds:
 * https://aws.amazon.com/blogs/architecture/exponential-backoff-and-jitter/
 */
export function createBackoff(initialMs: number, maxMs: number, random: Random): Backoff {
  let ceilingMs = initialMs;
  return {
    wait: async (signal) => {
      const durationMs = random() * ceilingMs;
      ceilingMs = Math.min(maxMs, ceilingMs * GROWTH_FACTOR);
      await waitMs(durationMs, signal);
    },
    reset: () => {
      ceilingMs = initialMs;
    },
  };
}
