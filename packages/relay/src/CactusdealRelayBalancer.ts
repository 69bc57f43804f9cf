import type { GateReport } from './CactusdealRelayTypes.js';

/** What this entry knows of one gate. */
export interface GateView {
  readonly memberId: string;
  readonly dataCentre: string;
  readonly report: GateReport;
  /** When the report came, by the entry's clock. */
  readonly reportedAtMs: number;
  /** Calls that this entry sent since the report and that have not ended. */
  readonly unreported: number;
  /** The entry gives it no calls before this time. */
  readonly avoidedUntilMs: number;
  /** Expected time in the upstream for the kind of call, in milliseconds. */
  readonly serviceMs: number;
  /** Time that the way and the daemon were seen to take besides, in milliseconds. */
  readonly overheadMs: number;
}

/** What a choice depends on. */
export interface ChoiceInput {
  readonly gates: readonly GateView[];
  readonly dataCentre: string;
  /** Gates that this call has been at, by member id. */
  readonly tried: ReadonlySet<string>;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left until the answer loses worth, in milliseconds. */
  readonly targetMs: number;
  readonly nowMs: number;
  readonly random: () => number;
}

/** Round trip to another data centre, in milliseconds. */
const REMOTE_MS = 8;
/** Part of the target by which an answer from the own data centre has to be expected. */
const LOCAL_TARGET_PART = 1;
/** The same for another data centre, whose load is known less well. */
const REMOTE_TARGET_PART = 0.8;
/** The part for the own data centre and the most urgent work, which is worth more than the bytes of a longer way. */
const URGENT_TARGET_PART = 0.4;
/** Load told by another entry's traffic fades, as it was answered meanwhile, in milliseconds. */
const LOAD_HALF_LIFE_MS = 1_000;
const FAILURE_PENALTY = 3;

/**
 * Chooses the gate for the next attempt of a call.
 *
 * Load pattern: work that is uneven between data centres, over links that are dear. The gate of the
 * own data centre is taken while it answers in time; another only when it answers sooner and in
 * time. Among gates of one data centre the soonest expected answer wins.
 */
export function chooseGate(input: ChoiceInput): GateView | undefined {
  const open = input.gates.filter(
    (gate) =>
      gate.report.open && gate.avoidedUntilMs <= input.nowMs && !input.tried.has(gate.memberId),
  );
  const local = findSoonest(open, input, (gate) => gate.dataCentre === input.dataCentre);
  const part = input.priority === 0 ? URGENT_TARGET_PART : LOCAL_TARGET_PART;
  if (local !== undefined && local.answerMs <= input.targetMs * part) {
    return local.gate;
  }
  const remote = findSoonest(open, input, (gate) => gate.dataCentre !== input.dataCentre);
  if (remote === undefined) return local?.gate;
  if (local === undefined) return remote.gate;
  const isWorthIt =
    remote.answerMs <= input.targetMs * REMOTE_TARGET_PART && remote.answerMs < local.answerMs;
  return isWorthIt ? remote.gate : local.gate;
}

interface Expected {
  readonly gate: GateView;
  readonly answerMs: number;
}

function findSoonest(
  gates: readonly GateView[],
  input: ChoiceInput,
  accept: (gate: GateView) => boolean,
): Expected | undefined {
  let best: Expected | undefined;
  gates.forEach((gate) => {
    if (!accept(gate)) return;
    const answerMs = computeAnswerMs(gate, input);
    if (best === undefined || answerMs < best.answerMs) best = { gate, answerMs };
  });
  return best;
}

/** Time until the gate would have answered, in milliseconds, a little randomized. */
export function computeAnswerMs(gate: GateView, input: ChoiceInput): number {
  const { report, serviceMs } = gate;
  const ageMs = input.nowMs - gate.reportedAtMs;
  const faded = report.load * 0.5 ** (ageMs / LOAD_HALF_LIFE_MS);
  const load = faded + gate.unreported;
  const capacity = Math.max(1, report.capacity);
  const waitMs = Math.max(0, load + 1 - capacity) * (report.serviceMs / capacity);
  const crowding = (load / capacity) * serviceMs * 0.1;
  const failing = 1 + FAILURE_PENALTY * report.failureRate;
  const distanceMs = gate.dataCentre === input.dataCentre ? 0 : REMOTE_MS;
  const wayMs = Math.max(distanceMs, gate.overheadMs);
  const noise = 1 + 0.05 * input.random();
  return (serviceMs * failing + waitMs + crowding + wayMs) * noise;
}
