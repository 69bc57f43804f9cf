/** A token bucket. */
export interface RateLimit {
  /** Takes a token; answers false when there is none. */
  tryTake(): boolean;
}

/** Creates a bucket that holds up to `burst` tokens and refills at `perSecond`. */
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
