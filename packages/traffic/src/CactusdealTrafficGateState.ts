import type { Gate } from './CactusdealTrafficTypes.js';

/** What the result of an attempt says about the availability of a gate. */
export const GateObservation = {
  Answered: 'answered',
  /** The gate refused the call for lack of capacity; other classes may still be admitted. */
  Busy: 'busy',
  /** The gate accepts no calls at all: its worker is draining, starting or gone. */
  Closed: 'closed',
  /** The gate or its upstream was unreachable, or the connection broke. */
  Failed: 'failed',
  /** Nothing, for example because the call was cancelled. */
  None: 'none',
} as const;
export type GateObservation = (typeof GateObservation)[keyof typeof GateObservation];

const BUSY_BACKOFF_MS = 50;
const CLOSED_BACKOFF_MS = 500;
const CONSECUTIVE_FAILURES_TO_EJECT = 3;
const BASE_EJECTION_MS = 2000;
const MAX_EJECTION_MULTIPLIER = 8;
const LATENCY_GAIN = 0.2;
const LATENCY_HALF_LIFE_MS = 5000;
const SLOW_START_MS = 10_000;
const MIN_SLOW_START_FACTOR = 0.1;

/** What this process has observed of one gate; times in milliseconds of its own clock. */
export interface GateState {
  readonly readySinceMs: number;
  readonly readyAtMs: number;
  inFlight: number;
  latencyMs: number | undefined;
  latencyAtMs: number;
  consecutiveFailures: number;
  ejections: number;
  ejectedUntilMs: number;
  closedUntilMs: number;
  readonly busyUntilMs: Map<string, number>;
}

/** Creates the state of a gate that was first seen, or became ready again, at `nowMs`. */
export function createGateState(gate: Gate, nowMs: number): GateState {
  return {
    readySinceMs: nowMs,
    readyAtMs: gate.readyAtMs,
    inFlight: 0,
    latencyMs: undefined,
    latencyAtMs: nowMs,
    consecutiveFailures: 0,
    ejections: 0,
    ejectedUntilMs: 0,
    closedUntilMs: 0,
    busyUntilMs: new Map(),
  };
}

/** Whether the gate is neither ejected, closed nor busy for the class. */
export function isAvailable(state: GateState, className: string, nowMs: number): boolean {
  return (
    state.ejectedUntilMs <= nowMs &&
    state.closedUntilMs <= nowMs &&
    (state.busyUntilMs.get(className) ?? 0) <= nowMs
  );
}

/**
 * Updates the state with the result of an attempt. `shouldEject` is only called after enough
 * consecutive failures and decides whether the gate is ejected.
 */
export function recordObservation(
  target: GateState,
  observation: GateObservation,
  attempt: { readonly className: string; readonly latencyMs: number; readonly nowMs: number },
  shouldEject: () => boolean,
): void {
  const state = target;
  switch (observation) {
    case GateObservation.Answered:
      state.consecutiveFailures = 0;
      state.ejections = 0;
      recordLatency(state, attempt.latencyMs, attempt.nowMs);
      break;
    case GateObservation.Busy:
      state.consecutiveFailures = 0;
      state.busyUntilMs.set(attempt.className, attempt.nowMs + BUSY_BACKOFF_MS);
      break;
    case GateObservation.Closed:
      state.closedUntilMs = attempt.nowMs + CLOSED_BACKOFF_MS;
      break;
    case GateObservation.Failed:
      state.consecutiveFailures += 1;
      if (state.consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT && shouldEject())
        startEjection(state, attempt.nowMs);
      break;
    default:
  }
}

/**
 * Expected cost of one more call: calls in flight times recent latency, divided by the slots, and
 * higher during slow start. A gate without a measured latency is given `otherLatencyMs`, that of the
 * gate it is compared with.
 */
export function computeCost(
  state: GateState,
  slots: number,
  otherLatencyMs: number,
  nowMs: number,
): number {
  const latencyMs = getLatency(state, nowMs) ?? otherLatencyMs;
  return ((state.inFlight + 1) * (latencyMs + 1)) / (slots * computeSlowStartFactor(state, nowMs));
}

/** Recent latency; decays while the gate is not used, so that a slow gate is tried again. */
export function getLatency(state: GateState, nowMs: number): number | undefined {
  if (state.latencyMs === undefined) return undefined;
  return state.latencyMs * 0.5 ** ((nowMs - state.latencyAtMs) / LATENCY_HALF_LIFE_MS);
}

/** Peak-sensitive moving average: rises to a higher sample at once and falls slowly. */
function recordLatency(target: GateState, sampleMs: number, nowMs: number): void {
  const state = target;
  const latencyMs = getLatency(state, nowMs);
  state.latencyMs =
    latencyMs === undefined || sampleMs > latencyMs
      ? sampleMs
      : latencyMs + LATENCY_GAIN * (sampleMs - latencyMs);
  state.latencyAtMs = nowMs;
}

function computeSlowStartFactor(state: GateState, nowMs: number): number {
  const factor = (nowMs - state.readySinceMs) / SLOW_START_MS;
  return Math.min(1, Math.max(MIN_SLOW_START_FACTOR, factor));
}

/** Ejects the gate, for longer each time. After the ejection, one more failure ejects it again. */
function startEjection(target: GateState, nowMs: number): void {
  const state = target;
  state.ejections = Math.min(MAX_EJECTION_MULTIPLIER, state.ejections + 1);
  state.ejectedUntilMs = nowMs + BASE_EJECTION_MS * state.ejections;
  state.consecutiveFailures = CONSECUTIVE_FAILURES_TO_EJECT - 1;
}
