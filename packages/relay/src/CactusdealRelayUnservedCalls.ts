/** The properties of a call by which a retry of it is recognised. */
export interface CallIdentity {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  /** Name of the caller's organisation; undefined if it has none. */
  readonly organisation?: string | undefined;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
}

/** Recent calls that were not served, kept to recognise them when their callers retry. */
export interface UnservedCalls {
  /**
   * Records that a call which arrived at `nowMs`, and for the first time at `firstAtMs`, was not
   * served.
   */
  record(call: CallIdentity, nowMs: number, firstAtMs: number): void;
  /** Arrival of the first try of this call; `nowMs` if the call is not a known retry. */
  findFirstAtMs(call: CallIdentity, nowMs: number): number;
}

interface UnservedCall {
  readonly firstAtMs: number;
  /** Time at which the caller stops waiting. */
  readonly deadlineAtMs: number;
}

/** Number of calls kept; the oldest is evicted. */
const MAX_CALLS = 2_000;
/** Greatest difference between the deadlines of two tries of the same call, in milliseconds. */
const DEADLINE_TOLERANCE_MS = 100;

/**
 * Creates an empty record.
 *
 * Load pattern: callers that were refused and retry after the delay they were given. The latency
 * target of a retry counts from the first try, and its remaining time has shrunk by the time since
 * then, so both tries have the same deadline. Calls of other callers to the same path are distinguished
 * by their deadlines, as callers use different timeouts.
 */
export function createUnservedCalls(): UnservedCalls {
  const callsByKey = new Map<string, UnservedCall>();
  return {
    record: (call, nowMs, firstAtMs) => {
      const key = formatKey(call);
      callsByKey.delete(key);
      callsByKey.set(key, { firstAtMs, deadlineAtMs: nowMs + call.remainingMs });
      evictOldest();
    },
    findFirstAtMs: (call, nowMs) => {
      const unserved = callsByKey.get(formatKey(call));
      if (unserved === undefined) return nowMs;
      const leftMs = unserved.deadlineAtMs - nowMs;
      return Math.abs(leftMs - call.remainingMs) <= DEADLINE_TOLERANCE_MS
        ? unserved.firstAtMs
        : nowMs;
    },
  };

  function evictOldest(): void {
    const [oldest] = callsByKey.keys();
    if (callsByKey.size > MAX_CALLS && oldest !== undefined) callsByKey.delete(oldest);
  }
}

function formatKey({ method, host, path, organisation = '' }: CallIdentity): string {
  return `${method} ${host}${path} ${organisation}`;
}
