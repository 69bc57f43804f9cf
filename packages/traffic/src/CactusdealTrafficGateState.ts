import type { Gate } from './CactusdealTrafficTypes.js';

/** What an attempt at a gate showed. */
export const GateSign = {
  Answered: 'answered',
  /** The gate takes no more calls of this class for now. */
  Busy: 'busy',
  /** The gate takes no calls at all: its worker drains, starts or is gone. */
  Closed: 'closed',
  /** The gate or its upstream could not be reached, or broke off. */
  Failed: 'failed',
  /** Says nothing of the gate, for example a cancelled call. */
  None: 'none',
} as const;
export type GateSign = (typeof GateSign)[keyof typeof GateSign];

const BUSY_MS = 50;
const CLOSED_MS = 500;
const FAILURES_TO_EJECT = 3;
const EJECTION_MS = 2000;
const MAX_EJECTIONS = 8;
const LATENCY_WEIGHT = 0.2;
const LATENCY_HALF_LIFE_MS = 5000;
const SLOW_START_MS = 10_000;
const SLOW_START_FLOOR = 0.1;

/** What this process has observed of one gate. */
export interface GateState {
  readonly readySinceMs: number;
  readonly readyAtMs: number;
  inFlight: number;
  latencyMs: number | undefined;
  latencyAtMs: number;
  failures: number;
  ejections: number;
  ejectedUntilMs: number;
  closedUntilMs: number;
  readonly busyUntilMs: Map<string, number>;
}

/** Creates the state of a gate that was first seen, or came back, at `nowMs`. */
export function createGateState(gate: Gate, nowMs: number): GateState {
  return {
    readySinceMs: nowMs,
    readyAtMs: gate.readyAtMs,
    inFlight: 0,
    latencyMs: undefined,
    latencyAtMs: nowMs,
    failures: 0,
    ejections: 0,
    ejectedUntilMs: 0,
    closedUntilMs: 0,
    busyUntilMs: new Map(),
  };
}

/** Whether the gate may be expected to take a call of the class now. */
export function isOpen(state: GateState, className: string, nowMs: number): boolean {
  return (
    state.ejectedUntilMs <= nowMs &&
    state.closedUntilMs <= nowMs &&
    (state.busyUntilMs.get(className) ?? 0) <= nowMs
  );
}

/** Takes in what an attempt showed. `shouldEject` is asked only when the gate has failed often enough. */
export function recordSign(
  held: GateState,
  sign: GateSign,
  seen: { readonly className: string; readonly latencyMs: number; readonly nowMs: number },
  shouldEject: () => boolean,
): void {
  const state = held;
  switch (sign) {
    case GateSign.Answered:
      state.failures = 0;
      state.ejections = 0;
      recordLatency(state, seen.latencyMs, seen.nowMs);
      break;
    case GateSign.Busy:
      state.failures = 0;
      state.busyUntilMs.set(seen.className, seen.nowMs + BUSY_MS);
      break;
    case GateSign.Closed:
      state.closedUntilMs = seen.nowMs + CLOSED_MS;
      break;
    case GateSign.Failed:
      state.failures += 1;
      if (state.failures >= FAILURES_TO_EJECT && shouldEject()) startEjection(state, seen.nowMs);
      break;
    default:
  }
}

/**
 * Expected cost of one more call: calls in flight times recent latency, over slots, and higher
 * during slow start. A gate without latency takes that of the gate it is compared with.
 */
export function computeCost(
  state: GateState,
  slots: number,
  otherLatencyMs: number,
  nowMs: number,
): number {
  const latencyMs = getLatency(state, nowMs) ?? otherLatencyMs;
  return ((state.inFlight + 1) * (latencyMs + 1)) / (slots * computeWarmth(state, nowMs));
}

/** Recent latency, which fades while the gate is not used, so that it is tried again. */
export function getLatency(state: GateState, nowMs: number): number | undefined {
  if (state.latencyMs === undefined) return undefined;
  return state.latencyMs * 0.5 ** ((nowMs - state.latencyAtMs) / LATENCY_HALF_LIFE_MS);
}

/** Rises at once and sinks slowly, so that one slow answer counts (peak-sensitive average). */
function recordLatency(held: GateState, sampleMs: number, nowMs: number): void {
  const state = held;
  const latencyMs = getLatency(state, nowMs);
  state.latencyMs =
    latencyMs === undefined || sampleMs > latencyMs
      ? sampleMs
      : latencyMs + LATENCY_WEIGHT * (sampleMs - latencyMs);
  state.latencyAtMs = nowMs;
}

function computeWarmth(state: GateState, nowMs: number): number {
  const warmth = (nowMs - state.readySinceMs) / SLOW_START_MS;
  return Math.min(1, Math.max(SLOW_START_FLOOR, warmth));
}

/** Ejects for longer each time; after it, one more failure ejects again. */
function startEjection(held: GateState, nowMs: number): void {
  const state = held;
  state.ejections = Math.min(MAX_EJECTIONS, state.ejections + 1);
  state.ejectedUntilMs = nowMs + EJECTION_MS * state.ejections;
  state.failures = FAILURES_TO_EJECT - 1;
}
