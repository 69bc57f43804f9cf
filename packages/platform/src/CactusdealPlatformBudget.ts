import type { Clock } from '@cactusdeal/shared';

const MS_PER_SECOND = 1000;

/** Bounds the calls that one process makes. */
export interface CallBudget {
  /** Takes one call from the budget; false when none is left. */
  take(): boolean;
}

/** Creates a token bucket that holds up to one second of calls and fills evenly. */
export function createCallBudget(callsPerSecond: number, clock: Clock): CallBudget {
  let tokens = callsPerSecond;
  let filledAtMs = clock();
  return {
    take: () => {
      const nowMs = clock();
      tokens = Math.min(
        callsPerSecond,
        tokens + ((nowMs - filledAtMs) * callsPerSecond) / MS_PER_SECOND,
      );
      filledAtMs = nowMs;
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
