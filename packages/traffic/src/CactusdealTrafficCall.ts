import { formatError } from '@cactusdeal/shared';
import type { ResponseSink } from './CactusdealTrafficAttempt.js';
import { type CallBody, isBodyTooLarge } from './CactusdealTrafficBody.js';
import { CallHeader } from './CactusdealTrafficHeaders.js';
import type { CompiledRoute } from './CactusdealTrafficRouteTable.js';
import { createRefusal } from './CactusdealTrafficRefusal.js';
import { CallOutcome, type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** Maximum depth of a call in a call tree. */
export const MAX_CALL_DEPTH = 16;

/** The propagated retry budget is rounded down to multiples of 1 over this number. */
const BUDGET_RESOLUTION = 1e6;

/** One call that this process serves; times are in milliseconds of its monotonic clock. */
export interface Call {
  readonly method: string;
  /** Request target: path and query. */
  readonly path: string;
  /** Alternating names and values, without hop-by-hop fields and those of this system. */
  readonly headers: readonly string[];
  /** Services of the upstream beside the daemon where the call entered; empty if there is none. */
  readonly caller: string;
  readonly route: CompiledRoute;
  readonly key: string | undefined;
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  /** Retry budget received with the call: retries per call that this level and those below may earn. */
  readonly budget: number;
  readonly depth: number;
  readonly body: CallBody;
  readonly lifetime: CallLifetime;
  readonly sink: ResponseSink;
}

/** The result of a call in this process. */
export type CallResult =
  | {
      readonly type: 'answered';
      /** Time in the gate's queue and at the upstream, in milliseconds. */
      readonly upstreamMs: number;
      /** When the head of the response arrived, by this process's clock. */
      readonly responseAtMs: number;
      /** Queueing delay in milliseconds; only known at the gate. */
      readonly queuedMs?: number;
    }
  | { readonly type: 'refused'; readonly refusal: Refusal }
  /** The head of the response was passed on, but the response was truncated. */
  | { readonly type: 'cut' };

/** Cancellation and deadline of a call. */
export interface CallLifetime {
  readonly signal: AbortSignal;
  /** Aborts the signal because the caller disconnected or cancelled. */
  cancel(): void;
  /** Stops the deadline timer; called when the response has begun in time. */
  stopDeadline(): void;
  /** The reason of the abort as a refusal with `outcome`; undefined if there was no abort. */
  explainAbort(outcome: CallOutcome): Refusal | undefined;
  close(): void;
}

/** Starts the deadline of a call; its signal aborts at the deadline or when the caller cancels. */
export function startCallLifetime(remainingMs: number): CallLifetime {
  const controller = new AbortController();
  let abortKind: RefusalKind | undefined;
  const timer = setTimeout(() => cancelWith(RefusalKind.DeadlinePassed), Math.max(0, remainingMs));
  return {
    signal: controller.signal,
    cancel: () => cancelWith(RefusalKind.Cancelled),
    stopDeadline: () => clearTimeout(timer),
    explainAbort: (outcome) =>
      abortKind === undefined
        ? undefined
        : createRefusal(abortKind, ABORT_MESSAGES[abortKind] ?? '', outcome),
    close: () => clearTimeout(timer),
  };

  function cancelWith(kind: RefusalKind): void {
    if (abortKind !== undefined) return;
    abortKind = kind;
    clearTimeout(timer);
    controller.abort();
  }
}

const ABORT_MESSAGES: Partial<Record<RefusalKind, string>> = {
  DeadlinePassed: 'the deadline passed before the response began',
  Cancelled: 'the caller cancelled or disconnected',
};

/** The header fields that the upstream passes on to the calls that it makes itself. */
export function buildPropagatedHeaders(call: Call, nowMs: number): string[] {
  return [
    CallHeader.Service,
    call.route.route.service,
    CallHeader.DeadlineMs,
    String(Math.max(0, Math.floor(call.deadlineAtMs - nowMs))),
    CallHeader.RetryBudget,
    String(Math.floor(call.budget * BUDGET_RESOLUTION) / BUDGET_RESOLUTION),
    CallHeader.Depth,
    String(call.depth),
  ];
}

/** The refusal of a call that was aborted or is past its deadline; undefined if it may be sent. */
export function refuseExpired(call: Call, nowMs: number): Refusal | undefined {
  const abortRefusal = call.lifetime.explainAbort(CallOutcome.NotRun);
  if (abortRefusal !== undefined || nowMs < call.deadlineAtMs) return abortRefusal;
  const kind = RefusalKind.DeadlinePassed;
  return createRefusal(kind, ABORT_MESSAGES[kind] ?? '', CallOutcome.NotRun);
}

/** Converts a failed attempt into a refusal, of unknown outcome if anything was sent. */
export function toFailureRefusal(
  call: Call,
  result: { readonly sent: boolean; readonly cause: Error },
): Refusal {
  const outcome = result.sent ? CallOutcome.Unknown : CallOutcome.NotRun;
  const abortRefusal = call.lifetime.explainAbort(outcome);
  if (abortRefusal !== undefined) return abortRefusal;
  if (isBodyTooLarge(result.cause)) {
    return createRefusal(RefusalKind.BodyTooLarge, result.cause.message, outcome);
  }
  return createRefusal(RefusalKind.UpstreamFailed, formatError(result.cause), outcome);
}
