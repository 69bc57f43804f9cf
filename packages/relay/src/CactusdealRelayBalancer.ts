import {
  computeExpectedExcess,
  computeExpectedLoad,
  computeUtilization,
} from './CactusdealRelayExpectedLoad.js';
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
  /** Whether the upstream has started recently and is slow. */
  readonly isWarmingUp: boolean;
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
/**
 * Fraction of the latency target within which a local gate must be expected to answer a call that a gate
 * has refused; lower because the loads known here have just proved too low.
 */
const RETRY_TARGET_FRACTION = 0.7;
/**
 * Multiple of the service time that must be left until the target at a gate where calls wait: gates keep such a
 * reserve on admission and refuse calls beyond it.
 */
const RESERVED_SERVICE_TIMES = 0.8;
/**
 * Fraction of the mean utilization towards which old loads move when gates are ranked; below 1, so that a gate
 * that has not reported for long is tried again.
 */
const TREND_FRACTION = 0.5;
/** Weight of the failure rate in the expected answer time. */
const FAILURE_PENALTY = 3;
/** Failure rate above which an upstream counts as failing, however fast it answers. */
const FAILING_RATE = 0.2;
/** Cost of a call to a failing upstream, as a multiple of the latency target and the rate beyond `FAILING_RATE`. */
const FAILING_PENALTY_TARGETS = 1.5;
/** Service times of an upstream that is warming up, as a multiple of its usual ones. */
export const WARM_UP_FACTOR = 2;
/**
 * Weight of the expected utilization in the ranking, as a multiple of the service time: the load of a gate
 * with few free slots is the likeliest to have risen since the last report.
 */
const UTILIZATION_WEIGHT = 0.8;
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
 * wins, where free slots count too. Under overload, a gate that has just refused a similar call is
 * skipped, as it would refuse this one too.
 */
export function chooseGate(input: ChoiceInput, pickCandidates = pickFew): Choice {
  const local = findFastest(true, input, pickCandidates);
  if (local.best !== undefined && isFastEnough(local.best, input)) {
    return { type: 'gate', gate: local.best.gate };
  }
  const remote = findFastest(false, input, pickCandidates);
  const best = chooseCandidate(local.best, remote.best, input);
  if (best !== undefined) return { type: 'gate', gate: best.gate };
  return { type: local.hasEligible || remote.hasEligible ? 'busy' : 'none' };
}

/** Whether a local gate needs no comparison with those of other data centres. */
function isFastEnough(local: Candidate, { priority, targetMs, tried }: ChoiceInput): boolean {
  if (isMostUrgentRank(priority) && local.answerMs > targetMs * URGENT_TARGET_FRACTION)
    return false;
  const targetFraction = tried.size > 0 ? RETRY_TARGET_FRACTION : LOCAL_TARGET_FRACTION;
  return local.answerMs + local.reservedMs <= targetMs * targetFraction;
}

/** Prefers the remote gate only if its answer is expected sooner and within the target. */
function chooseCandidate(
  local: Candidate | undefined,
  remote: Candidate | undefined,
  { targetMs }: ChoiceInput,
): Candidate | undefined {
  if (local === undefined || remote === undefined) return local ?? remote;
  const isRemoteBetter =
    remote.answerMs + remote.reservedMs <= targetMs * REMOTE_TARGET_FRACTION &&
    remote.answerMs < local.answerMs;
  return isRemoteBetter ? remote : local;
}

/**
 * A gate with its expected answer time, the reserve that it keeps beyond that, and the cost by which gates are
 * ranked, in milliseconds.
 */
interface Candidate {
  readonly gate: GateView;
  readonly answerMs: number;
  readonly reservedMs: number;
  readonly costMs: number;
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
  const utilization = computeUtilization(eligible);
  let best: Candidate | undefined;
  pickCandidates(admitting, input.random).forEach((gate) => {
    const candidate = buildCandidate(gate, input, isLocal, utilization);
    if (best === undefined || candidate.costMs < best.costMs) best = candidate;
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

/** Computes the expected time until the gate's answer; jitter spreads calls over equal gates. */
function buildCandidate(
  gate: GateView,
  input: ChoiceInput,
  isLocal: boolean,
  meanUtilization: number,
): Candidate {
  const { report } = gate;
  const warmUpFactor = gate.isWarmingUp ? WARM_UP_FACTOR : 1;
  const serviceMs = gate.serviceMs * warmUpFactor;
  const slots = Math.max(1, report.capacity);
  const turnMs = (report.serviceMs * warmUpFactor) / slots;
  const load = computeExpectedLoad(gate, meanUtilization, input.nowMs);
  const waitMs = computeExpectedExcess(load, slots) * turnMs;
  const rankedLoad = computeExpectedLoad(gate, meanUtilization * TREND_FRACTION, input.nowMs);
  const rankedWaitMs = computeExpectedExcess(rankedLoad, slots) * turnMs;
  const failureFactor = 1 + FAILURE_PENALTY * report.failureRate;
  const failingRate = Math.max(0, report.failureRate - FAILING_RATE);
  const failingMs = failingRate * FAILING_PENALTY_TARGETS * Math.max(0, input.targetMs);
  const roundTripMs = isLocal ? 0 : REMOTE_ROUND_TRIP_MS;
  const penaltyMs = gate.isOwn ? 0 : OTHER_DAEMON_PENALTY_MS;
  const transitMs = Math.max(roundTripMs, gate.overheadMs) + penaltyMs;
  const jitter = 1 + 0.05 * input.random();
  const answerMs = (serviceMs * failureFactor + waitMs + transitMs + failingMs) * jitter;
  const utilization = rankedLoad.mean / slots;
  const costMs = answerMs - waitMs + rankedWaitMs + utilization * serviceMs * UTILIZATION_WEIGHT;
  const reservedMs = Math.min(waitMs, serviceMs * RESERVED_SERVICE_TIMES);
  return { gate, answerMs, reservedMs, costMs };
}
