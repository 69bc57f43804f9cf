import { addCounts, type CountRow, type ResponseCounts } from './CactusdealRelayRolloutCounts.js';

/** The counts of a data centre. */
export interface DataCentreCounts {
  readonly dataCentre: string;
  readonly rows: readonly CountRow[];
}

/** Evidence that the target version is bad. */
interface Fault {
  readonly type: 'bad';
  readonly fault: 'failures' | 'slowness';
  /** Kind of call; `all` for all together. */
  readonly kind: string;
  readonly observed: number;
  /** What the other versions' counts make expect for as many responses. */
  readonly expected: number;
  readonly responses: number;
}

/** What the counts say of the target version. */
export type Verdict = Fault | { readonly type: 'sound' };

export const RolloutDecision = {
  Wait: 'wait',
  Succeed: 'succeed',
  RollBack: 'roll-back',
} as const;
export type RolloutDecision = (typeof RolloutDecision)[keyof typeof RolloutDecision];

/** Input to the decision on a running rollout. */
export interface DecisionInput {
  readonly verdict: Verdict;
  /** Responses of the target in data centres whose counts are recent. */
  readonly responses: number;
  readonly durationMs: number;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Whether counts of a data centre with gates of the service are missing or old. */
  readonly hasSilentDataCentre: boolean;
}

/** Bad responses beyond the expected ones from which it no longer matters whether one host is at fault. */
const MAX_BAD_RESPONSES = 25;
/** Responses of the other versions below which they say too little on their own. */
const MIN_BASE_RESPONSES = 20;
/** How strong the evidence against the target must be. */
interface Strictness {
  /** Standard deviations by which the observed number must exceed the expected one. */
  readonly deviations: number;
  /** Fraction of the responses that must be slow beyond what is expected: upstreams differ in speed. */
  readonly slowFraction: number;
}

const ALL_GATES: Strictness = { deviations: 4, slowFraction: 0.12 };
/** The same without any one group of gates, whose hosts alone may be at fault. */
const REMAINING_GATES: Strictness = { deviations: 1.5, slowFraction: 0.06 };
/** Factor by which the observed number must exceed the expected one. */
const EXCESS_FACTOR = 2;
/** A response is slow from this number of time buckets above the median on: 2.8 times as long. */
const SLOW_BUCKETS_ABOVE_MEDIAN = 6;
/** The same above the slowest tenth: 1.7 times as long. */
const SLOW_BUCKETS_ABOVE_TAIL = 3;
const TAIL_QUANTILE = 0.9;
const ALL_KINDS = 'all';

/** Responses for a success while the counts of all data centres are recent. */
const MIN_RESPONSES = 20;
/** Responses for a success near the deadline. */
const MIN_LATE_RESPONSES = 10;
/** Time before the deadline from which a success may be declared, as a fraction, with its bounds. */
const EARLY_FRACTION = { minFraction: 0.25, maxFraction: 0.4, ms: 4_000 } as const;
/** The same from which silent data centres are not waited for. */
const LATE_FRACTION = { minFraction: 0.1, maxFraction: 0.25, ms: 2_500 } as const;

/**
 * Compares the target with the other versions, for the same kinds of call in the same data centres.
 *
 * Load pattern: a target that gets a few percent of the calls and fails, or is several times slower, in
 * part of them: on one route, or from some moment on. Fluctuations of load and single slow or failing
 * upstreams affect the other versions in the same data centre as well, and are expected from the target.
 * A host of the target that fails or stalls is no fault of the version: it must also look bad without any
 * one group of its gates.
 */
export function compareVersions(dataCentres: readonly DataCentreCounts[]): Verdict {
  const faults = listFaults(dataCentres, ALL_GATES);
  const [fault] = faults;
  if (fault === undefined) return { type: 'sound' };
  const isEverywhere = listReductions(dataCentres).every(
    (reduced) => listFaults(reduced, REMAINING_GATES).length > 0,
  );
  return isEverywhere || countBad(faults) >= MAX_BAD_RESPONSES ? fault : { type: 'sound' };
}

/** Bad responses beyond what is expected; the fault of all kinds together has those of each kind. */
function countBad(faults: readonly Fault[]): number {
  const excess = (each: Fault): number => each.observed - each.expected;
  const kinds = faults.filter(({ kind }) => kind !== ALL_KINDS);
  const all = faults.find(({ kind }) => kind === ALL_KINDS);
  const byKind = kinds.map(excess).reduce((sum, count) => sum + count, 0);
  return Math.max(byKind, all === undefined ? 0 : excess(all));
}

/** The counts without each group of the target's gates in turn; empty if there is only one group. */
function listReductions(
  dataCentres: readonly DataCentreCounts[],
): readonly (readonly DataCentreCounts[])[] {
  const units = dataCentres.flatMap(({ dataCentre, rows }) => {
    const groups = new Set(rows.filter(({ isTarget }) => isTarget).map(({ group }) => group));
    return [...groups].map((group) => ({ dataCentre, group }));
  });
  if (units.length < 2) return [];
  return units.map((unit) =>
    dataCentres.map(({ dataCentre, rows }) => {
      const isLeftOut = ({ isTarget, group }: CountRow): boolean =>
        isTarget && dataCentre === unit.dataCentre && group === unit.group;
      return { dataCentre, rows: rows.filter((row) => !isLeftOut(row)) };
    }),
  );
}

function listFaults(
  dataCentres: readonly DataCentreCounts[],
  strictness: Strictness,
): readonly Fault[] {
  const kinds = new Set(dataCentres.flatMap(({ rows }) => rows.map(({ kind }) => kind)));
  const faults: Fault[] = [];
  const failuresByKind = [...kinds].map((kind) => {
    const pairs = listPairs(dataCentres, kind);
    const failures = compareFailures(pairs);
    if (isExcess(failures, strictness))
      faults.push({ type: 'bad', fault: 'failures', kind, ...failures });
    const slowness = compareTimes(pairs);
    const slowFraction = (slowness.observed - slowness.expected) / Math.max(1, slowness.responses);
    if (isExcess(slowness, strictness) && slowFraction > strictness.slowFraction)
      faults.push({ type: 'bad', fault: 'slowness', kind, ...slowness });
    return failures;
  });
  const all = addComparisons(failuresByKind);
  if (isExcess(all, strictness))
    faults.push({ type: 'bad', fault: 'failures', kind: ALL_KINDS, ...all });
  return faults;
}

/** Decides on a running rollout; near the deadline the decision falls whatever is missing. */
export function computeDecision(input: DecisionInput): RolloutDecision {
  const { verdict, responses, durationMs, remainingMs, hasSilentDataCentre } = input;
  if (verdict.type === 'bad') return RolloutDecision.RollBack;
  const earlyMs = computeMarginMs(durationMs, EARLY_FRACTION);
  const lateMs = computeMarginMs(durationMs, LATE_FRACTION);
  if (remainingMs > earlyMs) return RolloutDecision.Wait;
  if (responses >= MIN_RESPONSES && !hasSilentDataCentre) return RolloutDecision.Succeed;
  if (remainingMs > lateMs) return RolloutDecision.Wait;
  if (responses >= MIN_LATE_RESPONSES) return RolloutDecision.Succeed;
  // A data centre that has counts decides before one that has none.
  return remainingMs > lateMs / 2 ? RolloutDecision.Wait : RolloutDecision.RollBack;
}

function computeMarginMs(
  durationMs: number,
  {
    minFraction,
    maxFraction,
    ms,
  }: { readonly minFraction: number; readonly maxFraction: number; readonly ms: number },
): number {
  return Math.max(durationMs * minFraction, Math.min(durationMs * maxFraction, ms));
}

/** Counts responses of the target, in all data centres together. */
export function countTargetResponses(dataCentres: readonly DataCentreCounts[]): number {
  return dataCentres
    .flatMap(({ rows }) => rows)
    .filter(({ isTarget }) => isTarget)
    .reduce((sum, { counts }) => sum + counts.responses, 0);
}

/** The target's counts of a kind in one data centre, and those of the other versions. */
interface Pair {
  readonly target: ResponseCounts;
  /** Of the same data centre, or of all where that has too few. */
  readonly base: ResponseCounts;
  /** The same for service times. */
  readonly timesBase: ResponseCounts;
}

interface Comparison {
  readonly observed: number;
  readonly expected: number;
  readonly responses: number;
}

const NO_COUNTS: ResponseCounts = { responses: 0, failures: 0, times: [], cutTimes: [] };

function listPairs(dataCentres: readonly DataCentreCounts[], kind: string): readonly Pair[] {
  const sides = dataCentres.map(({ rows }) => ({
    target: findCounts(rows, kind, true),
    others: findCounts(rows, kind, false),
  }));
  const pooled = sides.map(({ others }) => others).reduce(addCounts, NO_COUNTS);
  return sides.map(({ target, others }) => ({
    target,
    base: others.responses >= MIN_BASE_RESPONSES ? others : pooled,
    timesBase: countTimes(others.times) >= MIN_BASE_RESPONSES ? others : pooled,
  }));
}

/** The counts of a kind at the target or the other versions, over all groups of gates. */
function findCounts(rows: readonly CountRow[], kind: string, isTarget: boolean): ResponseCounts {
  return rows
    .filter((row) => row.kind === kind && row.isTarget === isTarget)
    .map(({ counts }) => counts)
    .reduce(addCounts, NO_COUNTS);
}

function compareFailures(pairs: readonly Pair[]): Comparison {
  return addComparisons(
    pairs.map(({ target, base }) => ({
      observed: target.failures,
      expected: target.responses * computeRate(base.failures, base.responses),
      responses: target.responses,
    })),
  );
}

function compareTimes(pairs: readonly Pair[]): Comparison {
  return addComparisons(
    pairs
      .filter(({ timesBase }) => countTimes(timesBase.times) >= MIN_BASE_RESPONSES)
      .map(({ target, timesBase }) => {
        const slowFrom = findSlowBucket(timesBase.times);
        const observed = countSlow(target, slowFrom);
        const cut = countTimes(target.cutTimes.slice(slowFrom));
        const baseSlow = countSlow(timesBase, slowFrom);
        const responses = countTimes(target.times) + cut;
        return {
          observed,
          expected: responses * computeRate(baseSlow, countTimes(timesBase.times)),
          responses,
        };
      }),
  );
}

function addComparisons(comparisons: readonly Comparison[]): Comparison {
  return comparisons.reduce(
    (sum, each) => ({
      observed: sum.observed + each.observed,
      expected: sum.expected + each.expected,
      responses: sum.responses + each.responses,
    }),
    { observed: 0, expected: 0, responses: 0 },
  );
}

/** Estimates a rate from a sample; never 0, as a small sample may miss rare events. */
function computeRate(events: number, total: number): number {
  return Math.min(1, (events + 0.5) / (total + 1));
}

/** Whether chance does not explain the observed number, by the deviation of a Poisson distribution. */
function isExcess({ observed, expected }: Comparison, { deviations }: Strictness): boolean {
  const limit = expected + deviations * Math.sqrt(expected + 1) + 1;
  return observed > Math.max(limit, expected * EXCESS_FACTOR);
}

function findSlowBucket(times: readonly number[]): number {
  return Math.max(
    findQuantile(times, 0.5) + SLOW_BUCKETS_ABOVE_MEDIAN,
    findQuantile(times, TAIL_QUANTILE) + SLOW_BUCKETS_ABOVE_TAIL,
  );
}

/** Index of the bucket that holds the quantile. */
function findQuantile(times: readonly number[], quantile: number): number {
  const rank = countTimes(times) * quantile;
  let sum = 0;
  return times.findIndex((count) => {
    sum += count ?? 0;
    return sum >= rank && sum > 0;
  });
}

/** A call that was given up is slow once it ran for as long as a slow response. */
function countSlow({ times, cutTimes }: ResponseCounts, slowFrom: number): number {
  return countTimes(times.slice(slowFrom)) + countTimes(cutTimes.slice(slowFrom));
}

function countTimes(times: readonly number[]): number {
  return times.reduce((sum, count) => sum + count, 0);
}
