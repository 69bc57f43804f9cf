import { isMostUrgentRank } from './CactusdealRelayOrganisations.js';
import type { GateReport } from './CactusdealRelayTypes.js';

/** What this entry knows about one gate. */
export interface GateView {
  readonly memberId: string;
  /** Whether it belongs to the entry's own daemon. */
  readonly isOwn: boolean;
  readonly report: GateReport;
  /** Time at which the report arrived, by the entry's clock. */
  readonly reportedAtMs: number;
  /** Calls that this entry has sent to the gate since its last report. */
  readonly unreportedCalls: number;
  /** The gate is not eligible before this time, by the entry's clock. */
  readonly avoidedUntilMs: number;
  /**
   * The gate's last refusal of a call of this kind because it was busy; undefined if there is none.
   */
  readonly refusal: Refusal | undefined;
  /** Expected service time for the kind of call, in milliseconds. */
  readonly serviceMs: number;
  /** Observed time beyond queueing and service time (network and daemon), in milliseconds. */
  readonly overheadMs: number;
}

/**
 * A gate refused a call at `atMs`, by the entry's clock, with `targetMs` left until its latency
 * target.
 */
export interface Refusal {
  readonly atMs: number;
  readonly targetMs: number;
}

/** Input to the choice of a gate. */
export interface ChoiceInput {
  /** Lists the gates of the service in the entry's data centre (local) or in all others. */
  readonly listGates: (isLocal: boolean) => readonly GateView[];
  /** Member ids of the gates that have had this call already. */
  readonly tried: ReadonlySet<string>;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left until the latency target, in milliseconds. */
  readonly targetMs: number;
  readonly nowMs: number;
  readonly random: () => number;
}

/** The chosen gate, or why there is none. */
export type Choice =
  | { readonly type: 'gate'; readonly gate: GateView }
  /** Every eligible gate has just refused a similar call. */
  | { readonly type: 'busy' }
  /** No gate is eligible. */
  | { readonly type: 'none' };

/** Assumed round trip to another data centre, in milliseconds. */
const REMOTE_ROUND_TRIP_MS = 8;
/** Fraction of the latency target within which a local gate must be expected to answer. */
const LOCAL_TARGET_FRACTION = 1;
/** The same for a remote gate; lower because its load is known less precisely. */
const REMOTE_TARGET_FRACTION = 0.8;
/**
 * The same for a local gate and the most urgent calls; lower because meeting their target is worth
 * the traffic between data centres.
 */
const URGENT_TARGET_FRACTION = 0.6;
/** Half-life of a reported load, in milliseconds: the calls that it counted end over time. */
const LOAD_HALF_LIFE_MS = 1_000;
/** Weight of the failure rate in the expected answer time. */
const FAILURE_PENALTY = 3;
/**
 * Added to the expected answer time of another daemon's gate, for the work which that daemon adds,
 * in milliseconds.
 */
const OTHER_DAEMON_PENALTY_MS = 12;
/** Number of gates, drawn at random, whose expected answer times are compared. */
const COMPARED_GATES = 3;
/** Up to this number of gates all are compared. */
const MAX_GATES_COMPARED_ALL = 4;
/** How long a gate that refused a call is skipped for similar calls, in milliseconds. */
const REFUSAL_MEMORY_MS = 25;

/**
 * Chooses the gate for the next attempt of a call.
 *
 * Load pattern: uneven load between data centres that are joined by expensive links. A local gate is
 * chosen if its answer is expected within the latency target; a remote one only if its answer is
 * expected sooner and within the target. Among gates on the same side the lowest expected answer time
 * wins. Under overload, a gate that has just refused a similar call is skipped, as it would refuse
 * this one too.
 */
export function chooseGate(input: ChoiceInput, pickCandidates = pickFew): Choice {
  const local = findFastest(true, input, pickCandidates);
  const targetFraction = isMostUrgentRank(input.priority)
    ? URGENT_TARGET_FRACTION
    : LOCAL_TARGET_FRACTION;
  if (local.best !== undefined && local.best.answerMs <= input.targetMs * targetFraction) {
    return { type: 'gate', gate: local.best.gate };
  }
  const remote = findFastest(false, input, pickCandidates);
  const best = chooseCandidate(local.best, remote.best, input);
  if (best !== undefined) return { type: 'gate', gate: best.gate };
  return { type: local.hasEligible || remote.hasEligible ? 'busy' : 'none' };
}

/** Prefers the remote gate only if its answer is expected sooner and within the target. */
function chooseCandidate(
  local: Candidate | undefined,
  remote: Candidate | undefined,
  { targetMs }: ChoiceInput,
): Candidate | undefined {
  if (local === undefined || remote === undefined) return local ?? remote;
  const isRemoteBetter =
    remote.answerMs <= targetMs * REMOTE_TARGET_FRACTION && remote.answerMs < local.answerMs;
  return isRemoteBetter ? remote : local;
}

/** A gate with its expected answer time, in milliseconds. */
interface Candidate {
  readonly gate: GateView;
  readonly answerMs: number;
}

interface SearchResult {
  /** Whether any gate is eligible, counting those skipped for a recent refusal. */
  readonly hasEligible: boolean;
  readonly best: Candidate | undefined;
}

/** Picks the gates to compare from those that may be chosen. */
export type PickCandidates = typeof pickFew;

/**
 * Picks the own gate and a few others at random.
 *
 * Load pattern: a fleet in which many entries know the same old loads. If all compared all gates, all
 * would choose the one that looked free, and fill it before the next report.
 */
export function pickFew(gates: readonly GateView[], random: () => number): readonly GateView[] {
  if (gates.length <= MAX_GATES_COMPARED_ALL) return gates;
  const own = gates.filter(({ isOwn }) => isOwn);
  const others = gates.filter(({ isOwn }) => !isOwn);
  const picked = Array.from({ length: COMPARED_GATES }, () => {
    const [gate] = others.splice(Math.floor(random() * others.length), 1);
    return gate as GateView;
  });
  return [...own, ...picked];
}

function findFastest(
  isLocal: boolean,
  input: ChoiceInput,
  pickCandidates: PickCandidates,
): SearchResult {
  const eligible = input.listGates(isLocal).filter((gate) => isEligible(gate, input));
  const admitting = eligible.filter((gate) => !hasRecentRefusal(gate, input));
  let best: Candidate | undefined;
  pickCandidates(admitting, input.random).forEach((gate) => {
    const answerMs = computeAnswerMs(gate, input, isLocal);
    if (best === undefined || answerMs < best.answerMs) best = { gate, answerMs };
  });
  return { hasEligible: eligible.length > 0, best };
}

function isEligible(gate: GateView, { nowMs, tried }: ChoiceInput): boolean {
  return gate.report.open && gate.avoidedUntilMs <= nowMs && !tried.has(gate.memberId);
}

/** Whether the gate has just refused a call with at least as much time left. */
function hasRecentRefusal({ refusal }: GateView, { nowMs, targetMs }: ChoiceInput): boolean {
  if (refusal === undefined || nowMs - refusal.atMs > REFUSAL_MEMORY_MS) return false;
  return targetMs <= refusal.targetMs;
}

/**
 * Expected time until the gate's answer, in milliseconds; jitter spreads calls over equal gates.
 */
function computeAnswerMs(gate: GateView, input: ChoiceInput, isLocal: boolean): number {
  const { report, serviceMs } = gate;
  const ageMs = input.nowMs - gate.reportedAtMs;
  const decayedLoad = report.load * 0.5 ** (ageMs / LOAD_HALF_LIFE_MS);
  const load = decayedLoad + gate.unreportedCalls;
  const capacity = Math.max(1, report.capacity);
  const waitMs = Math.max(0, load + 1 - capacity) * (report.serviceMs / capacity);
  const contentionMs = (load / capacity) * serviceMs * 0.1;
  const failureFactor = 1 + FAILURE_PENALTY * report.failureRate;
  const roundTripMs = isLocal ? 0 : REMOTE_ROUND_TRIP_MS;
  const penaltyMs = gate.isOwn ? 0 : OTHER_DAEMON_PENALTY_MS;
  const transitMs = Math.max(roundTripMs, gate.overheadMs) + penaltyMs;
  const jitter = 1 + 0.05 * input.random();
  return (serviceMs * failureFactor + waitMs + contentionMs + transitMs) * jitter;
}
