import type { GateReport } from './CactusdealRelayTypes.js';

/** What this entry knows of one gate. */
export interface GateView {
  readonly memberId: string;
  /** Whether it belongs to the entry's own daemon. */
  readonly isOwn: boolean;
  readonly report: GateReport;
  /** When the report came, by the entry's clock. */
  readonly reportedAtMs: number;
  /** Calls that this entry sent since the report and that have not ended. */
  readonly unreported: number;
  /** The entry gives it no calls before this time. */
  readonly avoidedUntilMs: number;
  /** What it last refused for want of room; undefined when it refused nothing. */
  readonly refusal: Refusal | undefined;
  /** Expected time in the upstream for the kind of call, in milliseconds. */
  readonly serviceMs: number;
  /** Time that the way and the daemon were seen to take besides, in milliseconds. */
  readonly overheadMs: number;
}

/** A gate refused a call that had `targetMs` left, at `atMs` by the entry's clock. */
export interface Refusal {
  readonly atMs: number;
  readonly targetMs: number;
}

/** What a choice depends on. */
export interface ChoiceInput {
  /** Lists the gates of the service in the own data centre, or those in others. */
  readonly listGates: (isLocal: boolean) => readonly GateView[];
  /** Gates that this call has been at, by member id. */
  readonly tried: ReadonlySet<string>;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left until the answer loses worth, in milliseconds. */
  readonly targetMs: number;
  readonly nowMs: number;
  readonly random: () => number;
}

/** The gate to ask; or why there is none. */
export type Choice =
  | { readonly type: 'gate'; readonly gate: GateView }
  /** All that are open have just refused such calls. */
  | { readonly type: 'busy' }
  | { readonly type: 'none' };

/** Round trip to another data centre, in milliseconds. */
const REMOTE_MS = 8;
/** Part of the target by which an answer from the own data centre has to be expected. */
const LOCAL_TARGET_PART = 1;
/** The same for another data centre, whose load is known less well. */
const REMOTE_TARGET_PART = 0.8;
/** The part for the own data centre and the most urgent work, which is worth more than the bytes of a longer way. */
const URGENT_TARGET_PART = 0.6;
/** Load told by another entry's traffic fades, as it was answered meanwhile, in milliseconds. */
const LOAD_HALF_LIFE_MS = 1_000;
const FAILURE_PENALTY = 3;
/** What the work of a second daemon is worth, in milliseconds of an answer's time. */
const SECOND_DAEMON_MS = 12;
/** Time for which a gate that refused is not asked again for the like. */
const REFUSAL_MS = 25;

/**
 * Chooses the gate for the next attempt of a call.
 *
 * Load pattern: work that is uneven between data centres, over links that are dear. The gate of the
 * own data centre is taken while it answers in time; another only when it answers sooner and in
 * time. Among gates of one data centre the soonest expected answer wins. In a flood, a gate that has
 * just refused the like is not asked again: its answer is known.
 */
export function chooseGate(input: ChoiceInput): Choice {
  const local = findSoonest(true, input);
  const part = input.priority === 0 ? URGENT_TARGET_PART : LOCAL_TARGET_PART;
  if (local.best !== undefined && local.best.answerMs <= input.targetMs * part) {
    return { type: 'gate', gate: local.best.gate };
  }
  const remote = findSoonest(false, input);
  const best = chooseBetween(local.best, remote.best, input);
  if (best !== undefined) return { type: 'gate', gate: best.gate };
  return { type: local.isOpen || remote.isOpen ? 'busy' : 'none' };
}

/** Another data centre only when it answers sooner and in time. */
function chooseBetween(
  local: Expected | undefined,
  remote: Expected | undefined,
  { targetMs }: ChoiceInput,
): Expected | undefined {
  if (local === undefined || remote === undefined) return local ?? remote;
  const isWorthIt =
    remote.answerMs <= targetMs * REMOTE_TARGET_PART && remote.answerMs < local.answerMs;
  return isWorthIt ? remote : local;
}

interface Expected {
  readonly gate: GateView;
  readonly answerMs: number;
}

interface Soonest {
  /** Whether there is a gate that may be asked or has just refused. */
  readonly isOpen: boolean;
  readonly best: Expected | undefined;
}

function findSoonest(isLocal: boolean, input: ChoiceInput): Soonest {
  let best: Expected | undefined;
  let isOpen = false;
  input.listGates(isLocal).forEach((gate) => {
    if (!isAskable(gate, input)) return;
    isOpen = true;
    if (isRefusing(gate, input)) return;
    const answerMs = computeAnswerMs(gate, input, isLocal);
    if (best === undefined || answerMs < best.answerMs) best = { gate, answerMs };
  });
  return { isOpen, best };
}

function isAskable(gate: GateView, { nowMs, tried }: ChoiceInput): boolean {
  return gate.report.open && gate.avoidedUntilMs <= nowMs && !tried.has(gate.memberId);
}

function isRefusing({ refusal }: GateView, { nowMs, targetMs }: ChoiceInput): boolean {
  if (refusal === undefined || nowMs - refusal.atMs > REFUSAL_MS) return false;
  return targetMs <= refusal.targetMs;
}

/** Time until the gate would have answered, in milliseconds, a little randomized. */
function computeAnswerMs(gate: GateView, input: ChoiceInput, isLocal: boolean): number {
  const { report, serviceMs } = gate;
  const ageMs = input.nowMs - gate.reportedAtMs;
  const faded = report.load * 0.5 ** (ageMs / LOAD_HALF_LIFE_MS);
  const load = faded + gate.unreported;
  const capacity = Math.max(1, report.capacity);
  const waitMs = Math.max(0, load + 1 - capacity) * (report.serviceMs / capacity);
  const crowding = (load / capacity) * serviceMs * 0.1;
  const failing = 1 + FAILURE_PENALTY * report.failureRate;
  const distanceMs = isLocal ? 0 : REMOTE_MS;
  const daemonMs = gate.isOwn ? 0 : SECOND_DAEMON_MS;
  const wayMs = Math.max(distanceMs, gate.overheadMs) + daemonMs;
  const noise = 1 + 0.05 * input.random();
  return (serviceMs * failing + waitMs + crowding + wayMs) * noise;
}
