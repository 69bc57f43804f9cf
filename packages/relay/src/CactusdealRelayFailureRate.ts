import type { Clock } from '@cactusdeal/shared';

/** Moving average of how often calls to one upstream fail. */
export interface FailureRate {
  record(failed: 0 | 1): void;
  /** From 0 to 1; decays while there are no calls. */
  get(): number;
}

/** Weight of a new sample in the moving average. */
const SMOOTHING_WEIGHT = 0.05;
/** Time without calls after which the average decays, in milliseconds. */
const HOLD_MS = 1_000;
/** The average halves in this time while there are no calls, in milliseconds. */
const HALF_LIFE_MS = 2_000;

/**
 * Creates the rate of an upstream without calls.
 *
 * Load pattern: an upstream that fails and therefore gets no calls, so that no call would tell that it is sound
 * again. Its rate decays to where a few calls try it.
 */
export function createFailureRate(clock: Clock): FailureRate {
  let rate = 0;
  let recordedAtMs = clock();
  return { record, get: computeRate };

  function record(failed: 0 | 1): void {
    const decayed = computeRate();
    rate = decayed + SMOOTHING_WEIGHT * (failed - decayed);
    recordedAtMs = clock();
  }

  function computeRate(): number {
    const idleMs = Math.max(0, clock() - recordedAtMs - HOLD_MS);
    return rate * 0.5 ** (idleMs / HALF_LIFE_MS);
  }
}
