import { createSeededRandom, getMonotonicMs, pickRandom, type Random } from '@cactusdeal/shared';
import { createFifoQueue, createGateQueue } from '@cactusdeal/traffic';
import {
  createGates,
  type FloodGate,
  type FloodPolicy,
  sendFloodCall,
  type SlotHold,
} from './CactusdealBenchFloodPolicy.js';
import {
  buildLoadClasses,
  computeLoad,
  FLOOD_CLASSES,
  FLOOD_SCENARIOS,
  FLOOD_SLOTS,
  FLOOD_WORKERS,
  type FloodClass,
  type FloodScenario,
} from './CactusdealBenchFloodScenario.js';
import { runLoad } from './CactusdealBenchLoad.js';
import type { Arrival, CallOutcome, ClassResult, LoadResult } from './CactusdealBenchLoadTypes.js';

const WARM_UP_MS = 1_000;
const QUEUE_LIMIT = 64;
const FIRST_RETRY_MS = 10;
const MAX_RETRY_MS = 320;
const TOTAL_SLOTS = FLOOD_WORKERS * FLOOD_SLOTS;

/** The gate queue, the less busy of two gates, and no retry of its own. */
export const RANKED_POLICY: FloodPolicy = {
  name: 'ranked',
  createQueue: () =>
    createGateQueue({
      slots: FLOOD_SLOTS,
      getQueueLimit: () => QUEUE_LIMIT,
      clock: getMonotonicMs,
    }),
  pickGate: (gates, random) => {
    const [first, second] = pickRandom(gates, 2, random) as [FloodGate, FloodGate];
    return first.inFlight <= second.inFlight ? first : second;
  },
  getRetryMs: () => undefined,
};

/** First in, first out, at a random gate, with retries until the deadline. */
export const BASELINE_POLICY: FloodPolicy = {
  name: 'baseline',
  createQueue: () =>
    createFifoQueue({ slots: FLOOD_SLOTS, limit: QUEUE_LIMIT, clock: getMonotonicMs }),
  pickGate: (gates, random) => gates[Math.floor(random() * gates.length)] as FloodGate,
  getRetryMs: (attempts) => Math.min(FIRST_RETRY_MS * 2 ** (attempts - 1), MAX_RETRY_MS),
};

/** One class on one day under one policy. */
export interface FloodClassReport {
  readonly name: string;
  readonly rank: string;
  readonly offeredPerSecond: number;
  readonly goodPerSecond: number;
  /** Part of the calls that ended well. */
  readonly goodRatio: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly targetP99Ms: number;
  /** Part of all slots that answers in time took. */
  readonly keptShare: number;
  /** What its share ensures of what it wanted: the lesser of both, as a part of all slots. */
  readonly ensuredShare: number;
  readonly endings: Readonly<Record<string, number>>;
}

/** One day under one policy. */
export interface FloodReport {
  readonly scenario: string;
  readonly policy: string;
  /** Slot time that went into answers in time, over what all slots have. */
  readonly usefulWork: number;
  /** Slot time that went into answers that came too late. */
  readonly wastedWork: number;
  /** Part of all slots that was wanted, at most 1. */
  readonly wantedWork: number;
  readonly classes: readonly FloodClassReport[];
}

/** Runs every scenario under both policies, one after the other. */
export async function runFlood(durationMs: number, seed: number): Promise<FloodReport[]> {
  const reports: FloodReport[] = [];
  for (const scenario of FLOOD_SCENARIOS) {
    for (const policy of [RANKED_POLICY, BASELINE_POLICY]) {
      reports.push(await runScenario(scenario, policy, durationMs, seed));
    }
  }
  return reports;
}

async function runScenario(
  scenario: FloodScenario,
  policy: FloodPolicy,
  durationMs: number,
  seed: number,
): Promise<FloodReport> {
  const gates = createGates(policy, FLOOD_WORKERS);
  const random = createSeededRandom(seed + 1);
  const startedAtMs = getMonotonicMs();
  const result = await runLoad({
    classes: buildLoadClasses(scenario, TOTAL_SLOTS),
    durationMs,
    seed,
    send: (arrival) => sendArrival(policy, gates, arrival, random),
  });
  gates.forEach(({ queue }) => queue.close());
  const holds = gates.flatMap((gate) => gate.holds);
  const window = { fromMs: startedAtMs + WARM_UP_MS, toMs: startedAtMs + durationMs };
  return buildReport(scenario, policy, result, holds, window);
}

/** The part of a run that slot time is counted in: full load, no filling up, no running empty. */
interface TimeWindow {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Slot time within the window as a part of what all slots have in it. */
function measureSlots(holds: readonly SlotHold[], { fromMs, toMs }: TimeWindow): number {
  const heldMs = holds.map(({ startedAtMs, endedAtMs }) =>
    Math.max(0, Math.min(endedAtMs, toMs) - Math.max(startedAtMs, fromMs)),
  );
  return computeSum(heldMs) / ((toMs - fromMs) * TOTAL_SLOTS);
}

function sendArrival(
  policy: FloodPolicy,
  gates: readonly FloodGate[],
  arrival: Arrival,
  random: Random,
): Promise<CallOutcome> {
  const { name } = arrival.loadClass;
  const floodClass = FLOOD_CLASSES.find((candidate) => candidate.name === name) as FloodClass;
  return sendFloodCall(policy, gates, floodClass, arrival, random);
}

function buildReport(
  scenario: FloodScenario,
  policy: FloodPolicy,
  result: LoadResult,
  holds: readonly SlotHold[],
  window: TimeWindow,
): FloodReport {
  const useful = holds.filter(({ isUseful }) => isUseful);
  const wasted = holds.filter(({ isUseful }) => !isUseful);
  const classes = result.classes.map((measured) => {
    const own = useful.filter(({ className }) => className === measured.name);
    return buildClassReport(measured, scenario, result.durationMs, measureSlots(own, window));
  });
  const wanted = FLOOD_CLASSES.map((floodClass) => computeLoad(floodClass, scenario));
  return {
    scenario: scenario.name,
    policy: policy.name,
    usefulWork: toThousandths(measureSlots(useful, window)),
    wastedWork: toThousandths(measureSlots(wasted, window)),
    wantedWork: Math.min(1, toThousandths(computeSum(wanted))),
    classes,
  };
}

function buildClassReport(
  measured: ClassResult,
  scenario: FloodScenario,
  durationMs: number,
  keptShare: number,
): FloodClassReport {
  const floodClass = FLOOD_CLASSES.find(({ name }) => name === measured.name) as FloodClass;
  const { rank, share, targetP99Ms } = floodClass;
  const { p50Ms, p99Ms } = measured.latency;
  return {
    name: measured.name,
    rank,
    offeredPerSecond: toThousandths((measured.sent / durationMs) * 1_000),
    goodPerSecond: measured.goodPerSecond,
    goodRatio: toThousandths(measured.good / Math.max(1, measured.sent)),
    p50Ms,
    p99Ms,
    targetP99Ms,
    keptShare: toThousandths(keptShare),
    ensuredShare: toThousandths(Math.min(share, computeLoad(floodClass, scenario))),
    endings: measured.endings,
  };
}

function computeSum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

function toThousandths(number: number): number {
  return Math.round(number * 1_000) / 1_000;
}
