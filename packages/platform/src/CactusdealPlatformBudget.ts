import type { Clock } from '@cactusdeal/shared';

const MS_PER_SECOND = 1000;

/** Limits the rate of the calls that one process makes. */
export interface CallBudget {
  /** Takes a token for one call; false when none is left. */
  take(): boolean;
}

/** Creates a token bucket that holds the calls of one second and refills at a constant rate. */
export function createCallBudget(callsPerSecond: number, clock: Clock): CallBudget {
  let tokens = callsPerSecond;
  let refilledAtMs = clock();
  return {
    take: () => {
      const nowMs = clock();
      tokens = Math.min(
        callsPerSecond,
        tokens + ((nowMs - refilledAtMs) * callsPerSecond) / MS_PER_SECOND,
      );
      refilledAtMs = nowMs;
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
