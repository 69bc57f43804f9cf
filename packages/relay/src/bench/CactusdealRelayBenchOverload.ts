import { createSeededRandom, type Random } from '@cactusdeal/shared';
import { createTimeline } from './CactusdealRelayBenchTimeline.js';
import type {
  CallKind,
  OverloadPolicy,
  SimulatedCall,
  SimulatedUpstream,
  Simulation,
} from './CactusdealRelayBenchOverloadTypes.js';

/** Result of one policy under one load. */
export interface OverloadReport {
  readonly policy: string;
  /** Offered load, as a multiple of the upstreams' capacity. */
  readonly load: number;
  /** Worth of the calls' answers, as a fraction of the worth if all were on time. */
  readonly worthKept: number;
  readonly worstKind: { readonly name: string; readonly worthKept: number };
  readonly worstDataCentre: { readonly name: string; readonly worthKept: number };
  /** Fraction of the calls that ended refused. */
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

/** Load of each kind at a load of 1, as a fraction of the capacity of its service. */
const LOAD_SHARES: Readonly<Record<string, number>> = {
  consult: 1,
  register: 0.7,
  check: 0.3,
  upload: 1,
};
/** Fraction of the calls made in each data centre; the upstreams are spread evenly. */
const ORIGIN_FRACTIONS: readonly number[] = [0.45, 0.3, 0.25];
/** Multiplies the service times of the upstreams in each data centre. */
const SLOW_FACTORS: readonly number[] = [0.7, 1, 1.4];

/** Simulates one load with one policy, for `durationMs` of virtual time. */
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
  const earnedWorth = new Map<SimulatedCall, number>();
  const refusalDelays: number[] = [];
  const refusedCalls = new Set<SimulatedCall>();
  const simulation: Simulation = {
    timeline,
    random,
    upstreams,
    computeServiceMs: (call, { slowFactor }) => call.baseServiceMs * slowFactor,
    answer,
    refuse,
  };
  const placement = policy.create(simulation);
  KINDS.forEach((kind) => {
    DATA_CENTRES.forEach((dataCentre, index) => {
      const perSecond = computeRate(kind, upstreams) * load * (ORIGIN_FRACTIONS[index] ?? 0);
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
        baseServiceMs: pickServiceMs(kind, random),
        tries: 1,
        hasEnded: false,
      };
      calls.push(call);
      placement.submit(call);
      scheduleArrival(kind, dataCentre, perSecond);
    });
  }

  function answer(simulatedCall: SimulatedCall): void {
    const call = simulatedCall;
    if (call.hasEnded) return;
    call.hasEnded = true;
    const nowMs = timeline.getNowMs();
    const { targetMs, worth, lateWorth } = call.kind;
    if (nowMs <= call.firstAtMs + targetMs) earnedWorth.set(call, worth);
    else if (nowMs <= call.deadlineAtMs) earnedWorth.set(call, lateWorth);
  }

  function refuse(simulatedCall: SimulatedCall, retryAfterMs: number): void {
    const call = simulatedCall;
    const nowMs = timeline.getNowMs();
    refusalDelays.push(nowMs - call.firstAtMs);
    if (call.tries > policy.retries || nowMs + retryAfterMs >= call.deadlineAtMs) {
      call.hasEnded = true;
      refusedCalls.add(call);
      return;
    }
    call.tries += 1;
    timeline.schedule(retryAfterMs, () => placement.submit(call));
  }

  function buildReport(): OverloadReport {
    const computeWorthKept = (accept: (call: SimulatedCall) => boolean): number => {
      const matchingCalls = calls.filter(accept);
      const sum = matchingCalls.reduce((total, { kind }) => total + kind.worth, 0);
      return toRounded(
        matchingCalls.reduce((total, call) => total + (earnedWorth.get(call) ?? 0), 0) / sum,
      );
    };
    const kinds = KINDS.map(({ name }) => ({
      name,
      worthKept: computeWorthKept(({ kind }) => kind.name === name),
    }));
    const centres = DATA_CENTRES.map((name) => ({
      name,
      worthKept: computeWorthKept(({ dataCentre }) => dataCentre === name),
    }));
    const delays = refusalDelays.sort((left, right) => left - right);
    const pickPercentile = (fraction: number): number =>
      Math.round(delays[Math.floor(delays.length * fraction)] ?? 0);
    return {
      policy: policy.name,
      load,
      worthKept: computeWorthKept(() => true),
      worstKind: findWorst(kinds),
      worstDataCentre: findWorst(centres),
      refused: toRounded(refusedCalls.size / calls.length),
      refusalDelayMs: { p50: pickPercentile(0.5), p99: pickPercentile(0.99) },
    };
  }
}

function findWorst<T extends { readonly worthKept: number }>(rows: readonly T[]): T {
  return rows.reduce((worst, row) => (row.worthKept < worst.worthKept ? row : worst));
}

function buildUpstreams(): readonly SimulatedUpstream[] {
  return ['catalogue', 'registry', 'evidence'].flatMap((service) =>
    DATA_CENTRES.map((dataCentre, index) => ({
      id: `${service}-${dataCentre}`,
      dataCentre,
      service,
      slots: SLOTS,
      slowFactor: SLOW_FACTORS[index] ?? 1,
    })),
  );
}

/** Calls per second of the kind that use its fraction of the capacity of its service. */
function computeRate(kind: CallKind, upstreams: readonly SimulatedUpstream[]): number {
  const slots = upstreams
    .filter(({ service }) => service === kind.service)
    .reduce((sum, upstream) => sum + upstream.slots / upstream.slowFactor, 0);
  return ((slots * 1_000) / kind.serviceMs) * (LOAD_SHARES[kind.name] ?? 0);
}

/** Draws a service time from a log-normal distribution with the kind's mean. */
function pickServiceMs({ serviceMs, spread }: CallKind, random: Random): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return serviceMs * Math.exp(spread * normal - (spread * spread) / 2);
}

function toRounded(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
