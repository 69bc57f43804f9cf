import { createSeededRandom, type Random } from '@cactusdeal/shared';
import type {
  CallKind,
  OverloadPolicy,
  SimulatedCall,
  Timeline,
  UpstreamPlan,
  World,
} from './CactusdealRelayBenchOverloadTypes.js';

/** What one policy did under one load. */
export interface OverloadReport {
  readonly policy: string;
  /** Work asked for, as a multiple of what the upstreams can do. */
  readonly load: number;
  /** Worth earned of what was owed. */
  readonly worthKept: number;
  readonly worstKind: { readonly name: string; readonly worthKept: number };
  readonly worstDataCentre: { readonly name: string; readonly worthKept: number };
  /** Calls that ended refused, of all. */
  readonly refused: number;
  /** Time from a call's arrival to its refusal, in milliseconds. */
  readonly refusalDelayMs: { readonly p50: number; readonly p99: number };
}

const DATA_CENTRES = ['west', 'middle', 'east'] as const;
const DURATION_MS = 20_000;
const SLOTS = 18;

const KINDS: readonly CallKind[] = [
  buildKind('consult', 'catalogue', 1, 300, 1_200, 0.86, 0.26, 90),
  buildKind('register', 'registry', 2, 800, 1_500, 0.86, 0.39, 120),
  buildKind('check', 'registry', 1, 120, 250, 0.3, 0.1, 22),
  buildKind('upload', 'evidence', 0, 250, 800, 4.9, 0.59, 63),
];

function buildKind(
  name: string,
  service: string,
  priority: number,
  targetMs: number,
  deadlineMs: number,
  worth: number,
  lateWorth: number,
  serviceMs: number,
): CallKind {
  const times = { targetMs, deadlineMs, serviceMs, spread: 0.3 };
  return { name, service, priority, worth, lateWorth, perSecond: 0, ...times };
}

/** Part of its service's time that each kind asks for. */
const SHARES: Readonly<Record<string, number>> = {
  consult: 1,
  register: 0.7,
  check: 0.3,
  upload: 1,
};
/** Part of the calls that comes in each data centre; the upstreams are spread evenly. */
const ORIGINS: readonly number[] = [0.45, 0.3, 0.25];
const SLOWNESS: readonly number[] = [0.7, 1, 1.4];

/** Plays one load against one policy, for `durationMs` of virtual time. */
export function runOverload(
  policy: OverloadPolicy,
  load: number,
  seed: number,
  durationMs = DURATION_MS,
): OverloadReport {
  const random = createSeededRandom(seed);
  const { timeline, run } = createTimeline();
  const upstreams = buildUpstreams();
  const calls: SimulatedCall[] = [];
  const earned = new Map<SimulatedCall, number>();
  const refusals: number[] = [];
  const refusedCalls = new Set<SimulatedCall>();
  const world: World = {
    timeline,
    random,
    upstreams,
    computeServiceMs: (call, { slowness }) => call.workMs * slowness,
    answer,
    refuse,
  };
  const placed = policy.create(world);
  KINDS.forEach((kind) => {
    DATA_CENTRES.forEach((dataCentre, index) => {
      const perSecond = computeRate(kind, upstreams) * load * (ORIGINS[index] ?? 0);
      scheduleArrival(kind, dataCentre, perSecond);
    });
  });
  run(durationMs);
  return buildReport();

  function scheduleArrival(kind: CallKind, dataCentre: string, perSecond: number): void {
    const gapMs = (-Math.log(1 - random()) * 1_000) / perSecond;
    timeline.schedule(gapMs, () => {
      const nowMs = timeline.getNowMs();
      const call: SimulatedCall = {
        kind,
        dataCentre,
        firstAtMs: nowMs,
        deadlineAtMs: nowMs + kind.deadlineMs,
        workMs: pickWorkMs(kind, random),
        tries: 1,
        isOver: false,
      };
      calls.push(call);
      placed.submit(call);
      scheduleArrival(kind, dataCentre, perSecond);
    });
  }

  function answer(held: SimulatedCall): void {
    const call = held;
    if (call.isOver) return;
    call.isOver = true;
    const nowMs = timeline.getNowMs();
    const { targetMs, worth, lateWorth } = call.kind;
    if (nowMs <= call.firstAtMs + targetMs) earned.set(call, worth);
    else if (nowMs <= call.deadlineAtMs) earned.set(call, lateWorth);
  }

  function refuse(held: SimulatedCall, retryAfterMs: number): void {
    const call = held;
    const nowMs = timeline.getNowMs();
    refusals.push(nowMs - call.firstAtMs);
    if (call.tries > policy.retries || nowMs + retryAfterMs >= call.deadlineAtMs) {
      call.isOver = true;
      refusedCalls.add(call);
      return;
    }
    call.tries += 1;
    timeline.schedule(retryAfterMs, () => placed.submit(call));
  }

  function buildReport(): OverloadReport {
    const keep = (accept: (call: SimulatedCall) => boolean): number => {
      const owed = calls.filter(accept);
      const sum = owed.reduce((total, { kind }) => total + kind.worth, 0);
      return toRounded(owed.reduce((total, call) => total + (earned.get(call) ?? 0), 0) / sum);
    };
    const kinds = KINDS.map(({ name }) => ({
      name,
      worthKept: keep(({ kind }) => kind.name === name),
    }));
    const centres = DATA_CENTRES.map((name) => ({
      name,
      worthKept: keep(({ dataCentre }) => dataCentre === name),
    }));
    const delays = refusals.sort((left, right) => left - right);
    const pick = (part: number): number =>
      Math.round(delays[Math.floor(delays.length * part)] ?? 0);
    return {
      policy: policy.name,
      load,
      worthKept: keep(() => true),
      worstKind: findWorst(kinds),
      worstDataCentre: findWorst(centres),
      refused: toRounded(refusedCalls.size / calls.length),
      refusalDelayMs: { p50: pick(0.5), p99: pick(0.99) },
    };
  }
}

function findWorst<T extends { readonly worthKept: number }>(rows: readonly T[]): T {
  return rows.reduce((worst, row) => (row.worthKept < worst.worthKept ? row : worst));
}

function buildUpstreams(): readonly UpstreamPlan[] {
  return ['catalogue', 'registry', 'evidence'].flatMap((service) =>
    DATA_CENTRES.map((dataCentre, index) => ({
      id: `${service}-${dataCentre}`,
      dataCentre,
      service,
      slots: SLOTS,
      slowness: SLOWNESS[index] ?? 1,
    })),
  );
}

/** Calls a second of the kind that take its share of what its service can do. */
function computeRate(kind: CallKind, upstreams: readonly UpstreamPlan[]): number {
  const slots = upstreams
    .filter(({ service }) => service === kind.service)
    .reduce((sum, upstream) => sum + upstream.slots / upstream.slowness, 0);
  return ((slots * 1_000) / kind.serviceMs) * (SHARES[kind.name] ?? 0);
}

function pickWorkMs({ serviceMs, spread }: CallKind, random: Random): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return serviceMs * Math.exp(spread * normal - (spread * spread) / 2);
}

function createTimeline(): { timeline: Timeline; run: (endMs: number) => void } {
  const due: { readonly atMs: number; readonly run: () => void }[] = [];
  let nowMs = 0;
  const timeline: Timeline = {
    getNowMs: () => nowMs,
    schedule: (delayMs, run) => addEntry({ atMs: nowMs + delayMs, run }),
  };
  return {
    timeline,
    run: (endMs) => {
      for (;;) {
        const next = due.pop();
        if (next === undefined || next.atMs > endMs) return;
        nowMs = next.atMs;
        next.run();
      }
    },
  };

  /** The list is kept with the soonest last. */
  function addEntry(entry: { readonly atMs: number; readonly run: () => void }): void {
    let low = 0;
    let high = due.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((due[middle]?.atMs ?? 0) > entry.atMs) low = middle + 1;
      else high = middle;
    }
    due.splice(low, 0, entry);
  }
}

function toRounded(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
