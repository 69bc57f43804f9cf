import { createSeededRandom, getMonotonicMs, pickRandom, type Random } from '@cactusdeal/shared';
import { createFifoQueue, createGateQueue } from '@cactusdeal/traffic';
import {
  createFloodGates,
  type FloodGate,
  type FloodPolicy,
  sendFloodCall,
  type SlotOccupancy,
} from './CactusdealBenchFloodPolicy.js';
import {
  buildLoadClasses,
  computeOfferedLoad,
  FLOOD_SCENARIOS,
  FLOOD_WORKER_COUNT,
  type FloodScenario,
  SLOTS_PER_WORKER,
  TRAFFIC_CLASSES,
  type TrafficClass,
} from './CactusdealBenchFloodScenario.js';
import { runLoad } from './CactusdealBenchLoad.js';
import type { Arrival, CallOutcome, ClassResult, LoadResult } from './CactusdealBenchLoadTypes.js';

const WARM_UP_MS = 1_000;
const QUEUE_LIMIT = 64;
const MIN_RETRY_DELAY_MS = 10;
const MAX_RETRY_DELAY_MS = 320;
const TOTAL_SLOTS = FLOOD_WORKER_COUNT * SLOTS_PER_WORKER;

/** The product's gate queue, the less loaded of two random gates, and no retries. */
export const RANKED_POLICY: FloodPolicy = {
  name: 'ranked',
  createQueue: () =>
    createGateQueue({
      slots: SLOTS_PER_WORKER,
      getQueueLimit: () => QUEUE_LIMIT,
      clock: getMonotonicMs,
    }),
  pickGate: (gates, random) => {
    const [first, second] = pickRandom(gates, 2, random) as [FloodGate, FloodGate];
    return first.inFlight <= second.inFlight ? first : second;
  },
  getRetryDelayMs: () => undefined,
};

/** FIFO queue at a random gate, with retries under exponential backoff until the deadline. */
export const BASELINE_POLICY: FloodPolicy = {
  name: 'baseline',
  createQueue: () =>
    createFifoQueue({ slots: SLOTS_PER_WORKER, queueLimit: QUEUE_LIMIT, clock: getMonotonicMs }),
  pickGate: (gates, random) => gates[Math.floor(random() * gates.length)] as FloodGate,
  getRetryDelayMs: (attempts) =>
    Math.min(MIN_RETRY_DELAY_MS * 2 ** (attempts - 1), MAX_RETRY_DELAY_MS),
};

/** Results of one class in one scenario under one policy. */
export interface FloodClassReport {
  readonly name: string;
  readonly rank: string;
  readonly offeredPerSecond: number;
  readonly goodPerSecond: number;
  /** Successful calls as a fraction of the calls sent. */
  readonly goodRatio: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly targetP99Ms: number;
  /** Fraction of all slot time used by calls that ended before their deadline. */
  readonly keptShare: number;
  /**
   * Fraction of all slot time guaranteed to the class: the lesser of its share and its offered
   * load.
   */
  readonly ensuredShare: number;
  readonly endings: Readonly<Record<string, number>>;
}

/** Results of one scenario under one policy. Work is slot time as a fraction of all slot time. */
export interface FloodReport {
  readonly scenario: string;
  readonly policy: string;
  /** Work of calls that ended before their deadline. */
  readonly usefulWork: number;
  /** Work of calls that ended after their deadline. */
  readonly wastedWork: number;
  /** Total offered load, capped at 1. */
  readonly wantedWork: number;
  readonly classes: readonly FloodClassReport[];
}

/** Simulates every scenario under both policies, one run at a time. */
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
  const gates = createFloodGates(policy, FLOOD_WORKER_COUNT);
  const random = createSeededRandom(seed + 1);
  const startedAtMs = getMonotonicMs();
  const result = await runLoad({
    classes: buildLoadClasses(scenario, TOTAL_SLOTS),
    durationMs,
    seed,
    send: (arrival) => sendArrival(policy, gates, arrival, random),
  });
  gates.forEach(({ queue }) => queue.close());
  const occupancies = gates.flatMap((gate) => gate.occupancies);
  const window = { fromMs: startedAtMs + WARM_UP_MS, toMs: startedAtMs + durationMs };
  return buildReport(scenario, policy, result, occupancies, window);
}

/** The part of a run in which slot time is counted: after the warm-up, until the last arrival. */
interface TimeWindow {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Slot time used within the window, as a fraction of all slot time in it. */
function measureUtilisation(
  occupancies: readonly SlotOccupancy[],
  { fromMs, toMs }: TimeWindow,
): number {
  const occupiedMs = occupancies.map(({ startedAtMs, endedAtMs }) =>
    Math.max(0, Math.min(endedAtMs, toMs) - Math.max(startedAtMs, fromMs)),
  );
  return computeSum(occupiedMs) / ((toMs - fromMs) * TOTAL_SLOTS);
}

function sendArrival(
  policy: FloodPolicy,
  gates: readonly FloodGate[],
  arrival: Arrival,
  random: Random,
): Promise<CallOutcome> {
  const { name } = arrival.loadClass;
  const trafficClass = TRAFFIC_CLASSES.find((candidate) => candidate.name === name) as TrafficClass;
  return sendFloodCall(policy, gates, trafficClass, arrival, random);
}

function buildReport(
  scenario: FloodScenario,
  policy: FloodPolicy,
  result: LoadResult,
  occupancies: readonly SlotOccupancy[],
  window: TimeWindow,
): FloodReport {
  const inTime = occupancies.filter(({ isInTime }) => isInTime);
  const late = occupancies.filter(({ isInTime }) => !isInTime);
  const classes = result.classes.map((measured) => {
    const inTimeOfClass = inTime.filter(({ className }) => className === measured.name);
    return buildClassReport(
      measured,
      scenario,
      result.durationMs,
      measureUtilisation(inTimeOfClass, window),
    );
  });
  const offeredLoads = TRAFFIC_CLASSES.map((trafficClass) =>
    computeOfferedLoad(trafficClass, scenario),
  );
  return {
    scenario: scenario.name,
    policy: policy.name,
    usefulWork: toThousandths(measureUtilisation(inTime, window)),
    wastedWork: toThousandths(measureUtilisation(late, window)),
    wantedWork: Math.min(1, toThousandths(computeSum(offeredLoads))),
    classes,
  };
}

function buildClassReport(
  measured: ClassResult,
  scenario: FloodScenario,
  durationMs: number,
  keptShare: number,
): FloodClassReport {
  const trafficClass = TRAFFIC_CLASSES.find(({ name }) => name === measured.name) as TrafficClass;
  const { rank, share, targetP99Ms } = trafficClass;
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
    ensuredShare: toThousandths(Math.min(share, computeOfferedLoad(trafficClass, scenario))),
    endings: measured.endings,
  };
}

function computeSum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

function toThousandths(number: number): number {
  return Math.round(number * 1_000) / 1_000;
}
