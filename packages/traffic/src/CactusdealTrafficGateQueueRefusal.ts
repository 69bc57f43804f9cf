import { CallOutcome, type Refusal, type RefusalKind } from './CactusdealTrafficTypes.js';

const STATUS: Readonly<Record<RefusalKind, number>> = {
  NoRoute: 404,
  NoUpstream: 503,
  QueueFull: 503,
  DeadlineUnmeetable: 503,
  DeadlinePassed: 504,
  Shed: 503,
  Draining: 503,
  Quarantined: 422,
  BodyTooLarge: 413,
  KeyMissing: 400,
  KeyExpired: 410,
  KeyClaimed: 409,
  ClaimUnavailable: 503,
  BudgetExhausted: 503,
  UpstreamFailed: 502,
  ConnectionSilent: 502,
  Cancelled: 499,
};

/** Builds a refusal with the status of its kind; not run unless said otherwise. */
export function buildRefusal(
  kind: RefusalKind,
  message: string,
  more: { readonly outcome?: CallOutcome; readonly retryAfterMs?: number } = {},
): Refusal {
  return { kind, message, outcome: CallOutcome.NotRun, status: STATUS[kind], ...more };
}
