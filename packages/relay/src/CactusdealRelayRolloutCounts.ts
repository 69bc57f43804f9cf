import type { Clock } from '@cactusdeal/shared';
import {
  isShedAnswer,
  isUpstreamAnswer,
  MIN_SERVER_ERROR_STATUS,
} from './CactusdealRelayAnswerKind.js';
import type { GateCall, HeaderNames, Upstream } from './CactusdealRelayTypes.js';
import type { UpstreamEnd } from './CactusdealRelayUpstream.js';

/** Responses of upstreams of a version to one kind of call. */
export interface ResponseCounts {
  readonly responses: number;
  readonly failures: number;
  /** Number of answers by service time; the index is that of `findTimeBucket`. */
  readonly times: readonly number[];
  /** Number of calls that were given up while they ran, by the time that they ran. */
  readonly cutTimes: readonly number[];
}

/** Counts of one kind of call at the target of a rollout or at all other versions. */
export interface CountRow {
  readonly kind: string;
  readonly isTarget: boolean;
  /** Group of the gate; rows of other versions have group 0. */
  readonly group: number;
  readonly counts: ResponseCounts;
}

/** The end of a request to the upstream. */
export interface RequestResult {
  readonly call: GateCall;
  readonly upstream: Upstream;
  readonly end: UpstreamEnd;
  readonly serviceMs: number;
  /** Whether a nested call that the upstream made for this one failed. */
  readonly nestedFailed: boolean;
  readonly isCancelled: boolean;
}

/** Counts the ends of requests at a gate while a rollout of its service runs. */
export interface RolloutCounts {
  /** Handles the upstream's state. */
  setUpstream(upstream: Upstream | undefined): void;
  record(result: RequestResult): void;
  /** Counts since the start of the rollout; empty if there are none. */
  list(targetVersion: string): readonly CountRow[];
}

export interface RolloutCountsOptions {
  /** Id of the gate's daemon. */
  readonly memberId: string;
  readonly names: HeaderNames;
  readonly clock: Clock;
  /** Target of the running rollout; undefined if none runs. */
  readonly getTarget: (service: string) => string | undefined;
}

/** Routes of one kind are distinguished by a hash of the first segment of the path, into this many. */
const PATHS_PER_KIND = 8;
/** Groups of the target's gates, so that a fault of one gate is distinguished from one of the version. */
const GATE_GROUPS = 4;
/** An upstream that has just started is slow; its service times do not count. */
const WARM_UP_MS = 3_000;
/** Connections that break together are one failure: an upstream that ends breaks all of its calls. */
const BREAK_INTERVAL_MS = 100;
const BUCKETS_PER_OCTAVE = 4;
const MAX_BUCKET = 64;

/** Index of the bucket of a service time; each bucket is a fourth of an octave wide. */
export function findTimeBucket(serviceMs: number): number {
  return Math.min(MAX_BUCKET, Math.round(BUCKETS_PER_OCTAVE * Math.log2(Math.max(1, serviceMs))));
}

interface MutableCounts {
  responses: number;
  failures: number;
  readonly times: number[];
  readonly cutTimes: number[];
}

interface MutableRow extends CountRow {
  readonly counts: MutableCounts;
}

export function createRolloutCounts(options: RolloutCountsOptions): RolloutCounts {
  const { memberId, names, clock, getTarget } = options;
  const rows = new Map<string, MutableRow>();
  let countedTarget: string | undefined;
  let instance: string | undefined;
  let warmUntilMs = 0;
  let brokenAtMs = -Infinity;
  return { setUpstream, record, list };

  function setUpstream(upstream: Upstream | undefined): void {
    if (upstream === undefined) return;
    const next = `${upstream.id}@${upstream.startedAtMs}`;
    const warmUpMs = next === instance ? 0 : WARM_UP_MS;
    instance = next;
    warmUntilMs = Math.max(warmUntilMs, clock() + Math.max(warmUpMs, upstream.warmUpLeftMs ?? 0));
  }

  function record(result: RequestResult): void {
    const { upstream, end, isCancelled } = result;
    const target = getTarget(upstream.service);
    if (target === undefined) return;
    startCounting(target);
    const { counts } = findRow(result.call, upstream.softwareVersion === target);
    if (isCancelled) addTime(counts.cutTimes, result.serviceMs);
    else if (end.type === 'broken') recordBreak(counts);
    else if (end.type === 'answered') recordAnswer(counts, result);
  }

  function startCounting(target: string): void {
    if (countedTarget === target) return;
    countedTarget = target;
    rows.clear();
  }

  function findRow(call: GateCall, isTarget: boolean): MutableRow {
    const group = isTarget ? computeHash(memberId) % GATE_GROUPS : 0;
    const counts = { responses: 0, failures: 0, times: [], cutTimes: [] };
    const created = { kind: formatCountedKind(call), isTarget, group, counts };
    const key = formatRowKey(created);
    const row = rows.get(key) ?? created;
    rows.set(key, row);
    return row;
  }

  function recordBreak(counts: MutableCounts): void {
    const nowMs = clock();
    if (nowMs - brokenAtMs < BREAK_INTERVAL_MS) return;
    brokenAtMs = nowMs;
    addResponse(counts, true);
  }

  /** A refusal, and a failure that a nested call caused, say nothing of the upstream's version. */
  function recordAnswer(
    counts: MutableCounts,
    { end, serviceMs, nestedFailed }: RequestResult,
  ): void {
    if (end.type !== 'answered' || isShedAnswer(end.answer, names)) return;
    const isFailure =
      end.answer.status >= MIN_SERVER_ERROR_STATUS || !isUpstreamAnswer(end.answer, names);
    if (isFailure && nestedFailed) return;
    addResponse(counts, isFailure);
    if (!isFailure) addTime(counts.times, serviceMs);
  }

  function addTime(times: number[], serviceMs: number): void {
    if (clock() < warmUntilMs) return;
    const bucket = findTimeBucket(serviceMs);
    const counted = times;
    counted[bucket] = (times[bucket] ?? 0) + 1;
  }

  function list(targetVersion: string): readonly CountRow[] {
    return countedTarget === targetVersion ? [...rows.values()] : [];
  }
}

function addResponse(responseCounts: MutableCounts, isFailure: boolean): void {
  const counts = responseCounts;
  counts.responses += 1;
  if (isFailure) counts.failures += 1;
}

/** All gates divide the kinds in the same way, so that counts of two versions cover the same routes. */
function formatCountedKind({ kind, path }: GateCall): string {
  const end = path.indexOf('/', 1);
  const segment = end === -1 ? '' : path.slice(0, end);
  return `${kind}#${computeHash(segment) % PATHS_PER_KIND}`;
}

const HASH_FACTOR = 31;
const HASH_MODULUS = 65_521;

function computeHash(text: string): number {
  let hash = 0;
  for (let index = 0; index < text.length; index += 1)
    hash = (hash * HASH_FACTOR + text.charCodeAt(index)) % HASH_MODULUS;
  return hash;
}

function formatRowKey({ kind, isTarget, group }: CountRow): string {
  return `${isTarget ? group : 'others'} ${kind}`;
}

/** Adds up rows of the same kind, side and group. */
export function mergeRows(rows: readonly CountRow[]): readonly CountRow[] {
  const sums = new Map<string, CountRow>();
  rows.forEach((row) => {
    const key = formatRowKey(row);
    const known = sums.get(key);
    sums.set(
      key,
      known === undefined ? row : { ...row, counts: addCounts(known.counts, row.counts) },
    );
  });
  return [...sums.values()];
}

export function addCounts(left: ResponseCounts, right: ResponseCounts): ResponseCounts {
  return {
    responses: left.responses + right.responses,
    failures: left.failures + right.failures,
    times: addTimes(left.times, right.times),
    cutTimes: addTimes(left.cutTimes, right.cutTimes),
  };
}

function addTimes(left: readonly number[], right: readonly number[]): readonly number[] {
  const { length } = left.length > right.length ? left : right;
  return Array.from({ length }, (_, index) => (left[index] ?? 0) + (right[index] ?? 0));
}
