/** Token bucket that spaces the starts of calls. */
export interface RateLimit {
  /** Sets the calls per second; undefined for no limit. */
  set(callsPerSecond: number | undefined, nowMs: number): void;
  /** The calls per second; undefined if there is no limit. */
  get(): number | undefined;
  /** Takes the token of a call that starts. */
  take(nowMs: number): void;
  /**
   * Time until a call may start that has `callsAhead` others before it, in milliseconds; 0 if it may
   * start now.
   */
  computeWaitMs(callsAhead: number, nowMs: number): number;
  /**
   * Counts the slots that calls at the limit use on average if each takes `serviceMs`; infinite if there
   * is no limit.
   */
  countSlots(serviceMs: number): number;
}

const MS_PER_SECOND = 1_000;
/** Calls of this time may start at once after a pause, in milliseconds. */
const BURST_MS = 500;
/** Lets some calls pass at a limit of 0, as only their answers tell that it has ended. */
const MIN_CALLS_PER_SECOND = 0.5;

/**
 * Creates a bucket without a limit. It is empty when a limit begins, as the calls that have just started
 * are not known.
 */
export function createRateLimit(): RateLimit {
  let callsPerSecond: number | undefined;
  let tokens = 0;
  let countedAtMs = 0;
  return {
    set: (next, nowMs) => {
      const limit = next === undefined ? undefined : Math.max(MIN_CALLS_PER_SECOND, next);
      if (limit === callsPerSecond) return;
      update(callsPerSecond === undefined ? 0 : countTokens(callsPerSecond, nowMs), nowMs);
      callsPerSecond = limit;
    },
    get: () => callsPerSecond,
    take: (nowMs) => {
      if (callsPerSecond !== undefined) update(countTokens(callsPerSecond, nowMs) - 1, nowMs);
    },
    computeWaitMs: (callsAhead, nowMs) => {
      if (callsPerSecond === undefined) return 0;
      const missingTokens = callsAhead + 1 - countTokens(callsPerSecond, nowMs);
      return Math.max(0, (missingTokens / callsPerSecond) * MS_PER_SECOND);
    },
    countSlots: (serviceMs) => ((callsPerSecond ?? Infinity) * serviceMs) / MS_PER_SECOND,
  };

  function countTokens(limit: number, nowMs: number): number {
    const maxTokens = Math.max(1, (limit * BURST_MS) / MS_PER_SECOND);
    return Math.min(maxTokens, tokens + ((nowMs - countedAtMs) / MS_PER_SECOND) * limit);
  }

  function update(nextTokens: number, nowMs: number): void {
    tokens = nextTokens;
    countedAtMs = nowMs;
  }
}
