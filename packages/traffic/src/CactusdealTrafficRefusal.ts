import { CallOutcome, type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

const STATUS_BY_KIND: Readonly<Record<RefusalKind, number>> = {
  NoRoute: 404,
  NoUpstream: 503,
  QueueFull: 503,
  DeadlineUnmeetable: 503,
  DeadlinePassed: 504,
  Shed: 503,
  Draining: 503,
  Quarantined: 503,
  BodyTooLarge: 413,
  KeyMissing: 400,
  KeyExpired: 409,
  KeyClaimed: 409,
  ClaimUnavailable: 503,
  BudgetExhausted: 508,
  UpstreamFailed: 502,
  ConnectionSilent: 502,
  Cancelled: 499,
};

const KINDS: ReadonlySet<string> = new Set(Object.values(RefusalKind));
const OUTCOMES: ReadonlySet<string> = new Set(Object.values(CallOutcome));

/** Creates a refusal with the HTTP status of its kind. */
export function createRefusal(
  kind: RefusalKind,
  message: string,
  outcome: CallOutcome,
  retryAfterMs?: number,
): Refusal {
  const refusal = { kind, message, outcome, status: STATUS_BY_KIND[kind] };
  return retryAfterMs === undefined ? refusal : { ...refusal, retryAfterMs };
}

/** Creates a refusal of a call that did not run. */
export function createNotRun(kind: RefusalKind, message: string, retryAfterMs?: number): Refusal {
  return createRefusal(kind, message, CallOutcome.NotRun, retryAfterMs);
}

/** Parses a kind that another daemon sent; undefined for anything else. */
export function parseRefusalKind(text: string | undefined): RefusalKind | undefined {
  return text !== undefined && KINDS.has(text) ? (text as RefusalKind) : undefined;
}

/** Parses an outcome that another daemon sent; anything unreadable is `Unknown`. */
export function parseOutcome(text: string | undefined): CallOutcome {
  return text !== undefined && OUTCOMES.has(text) ? (text as CallOutcome) : CallOutcome.Unknown;
}

/** Formats seconds for `retry-after`; rounded up, as RFC 9110 allows no fractions. */
export function toRetryAfterSeconds(retryAfterMs: number): string {
  return String(Math.max(1, Math.ceil(retryAfterMs / 1000)));
}
