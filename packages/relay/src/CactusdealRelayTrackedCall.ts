import type { AdmissionRequest } from './CactusdealRelayAdmission.js';
import { computeCallFingerprint } from './CactusdealRelayFingerprint.js';
import { computeEstimateCapMs } from './CactusdealRelayServiceTimes.js';
import type { AttemptEnd, GateCall, HeaderNames } from './CactusdealRelayTypes.js';
import type { UpstreamCall } from './CactusdealRelayUpstream.js';

/** A call from its arrival at the gate to its end. */
export interface TrackedCall extends AdmissionRequest {
  readonly call: GateCall;
  /** The fingerprint that recognises the call when it is sent again; computed on first use. */
  readonly getFingerprint: () => string;
  readonly arrivedAtMs: number;
  /** When it was sent to the upstream. */
  sentAtMs: number;
  readonly settle: (end: AttemptEnd) => void;
  state: 'waiting' | 'running' | 'ended';
  request: UpstreamCall | undefined;
}

/** Fraction of the remaining time within which the answer to a nested call must be expected. */
const NESTED_DEADLINE_FRACTION = 0.8;

export function createTrackedCall(
  call: GateCall,
  names: HeaderNames,
  nowMs: number,
  settle: (end: AttemptEnd) => void,
): TrackedCall {
  let fingerprint: string | undefined;
  return {
    call,
    getFingerprint: () => {
      fingerprint ??= computeCallFingerprint(call, names);
      return fingerprint;
    },
    kind: call.kind,
    priority: call.priority,
    organisation: call.organisation,
    estimateCapMs: computeEstimateCapMs(call.targetMs),
    targetAtMs: nowMs + call.targetMs,
    deadlineAtMs: nowMs + call.remainingMs,
    latestAnswerAtMs: nowMs + computeAnswerBudgetMs(call),
    arrivedAtMs: nowMs,
    sentAtMs: Infinity,
    settle,
    state: 'waiting',
    request: undefined,
  };
}

/** Ends the call, unless it has ended. */
export function settleCall(trackedCall: TrackedCall, end: AttemptEnd): void {
  const tracked = trackedCall;
  if (tracked.state === 'ended') return;
  tracked.state = 'ended';
  tracked.settle(end);
}

/** Time within which the answer must be expected for a call to be admitted, in milliseconds. */
function computeAnswerBudgetMs({ isNested, remainingMs, targetMs }: GateCall): number {
  return isNested ? remainingMs * NESTED_DEADLINE_FRACTION : Math.min(targetMs, remainingMs);
}
