/** A token bucket. */
export interface RateLimit {
  /** Takes a token; returns false when none is available. */
  tryTake(): boolean;
}

/** Creates a full bucket of `burst` tokens that is refilled with `perSecond` tokens a second. */
export function createRateLimit(
  perSecond: number,
  burst: number,
  clockMs: () => number,
): RateLimit {
  let tokens = burst;
  let updatedAtMs = clockMs();
  return {
    tryTake: () => {
      const nowMs = clockMs();
      tokens = Math.min(burst, tokens + ((nowMs - updatedAtMs) * perSecond) / 1000);
      updatedAtMs = nowMs;
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
