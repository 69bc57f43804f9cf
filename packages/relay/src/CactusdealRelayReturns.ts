/** A call as its caller sent it. */
export interface CallIdentity {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  /** Time that the caller will wait, in milliseconds. */
  readonly offeredMs: number;
}

/** Calls that were not served of late, by which their callers are known when they come again. */
export interface Returns {
  /** A call that came at `nowMs`, and first at `firstAtMs`, was not served and may come again. */
  record(call: CallIdentity, nowMs: number, firstAtMs: number): void;
  /** When the call first came; `nowMs` when it was not seen before. */
  findFirstAtMs(call: CallIdentity, nowMs: number): number;
}

interface Unserved {
  readonly firstAtMs: number;
  /** When the caller stops waiting. */
  readonly endAtMs: number;
}

/** Calls that are remembered at most. */
const MAX_KEPT = 2_000;
/** Error of the time that a caller still has when it comes again, in milliseconds. */
const TOLERANCE_MS = 100;

/**
 * Creates an empty memory.
 *
 * Load pattern: callers that were refused and come again as told. Their target runs from the first
 * time they came, and they offer what is left of their time; others ask for the same with other
 * times, as callers differ in patience.
 */
export function createReturns(): Returns {
  const kept = new Map<string, Unserved>();
  return {
    record: (call, nowMs, firstAtMs) => {
      const key = formatKey(call);
      kept.delete(key);
      kept.set(key, { firstAtMs, endAtMs: nowMs + call.offeredMs });
      trim();
    },
    findFirstAtMs: (call, nowMs) => {
      const unserved = kept.get(formatKey(call));
      if (unserved === undefined) return nowMs;
      const leftMs = unserved.endAtMs - nowMs;
      return Math.abs(leftMs - call.offeredMs) <= TOLERANCE_MS ? unserved.firstAtMs : nowMs;
    },
  };

  function trim(): void {
    const [oldest] = kept.keys();
    if (kept.size > MAX_KEPT && oldest !== undefined) kept.delete(oldest);
  }
}

function formatKey({ method, host, path }: CallIdentity): string {
  return `${method} ${host}${path}`;
}
