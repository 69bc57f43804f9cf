import type { Rank } from '@cactusdeal/schema';
import type { LoadClass } from './CactusdealBenchLoadTypes.js';

/** A class of calls with its admission parameters, service time and normal load. */
export interface TrafficClass {
  readonly name: string;
  readonly rank: Rank;
  readonly share: number;
  readonly worth: number;
  /** Mean service time of the upstream, in milliseconds. */
  readonly serviceMs: number;
  readonly deadlineMs: number;
  /** Offered load when the class does not flood, as a fraction of all slots. */
  readonly normalLoad: number;
  /** Upper limit for the p99 latency in every scenario in which another class or none floods. */
  readonly targetP99Ms: number;
}

/** Number of workers of the service and of slots per worker, as in the Oviedo deployment. */
export const FLOOD_WORKER_COUNT = 4;
export const SLOTS_PER_WORKER = 12;

/** The four classes of the Oviedo deployment, all served by the same workers. */
export const TRAFFIC_CLASSES: readonly TrafficClass[] = [
  {
    name: 'paint-orders',
    rank: 'critical',
    share: 0.3,
    worth: 100,
    serviceMs: 40,
    deadlineMs: 1_000,
    normalLoad: 0.1,
    targetP99Ms: 250,
  },
  {
    name: 'complaints',
    rank: 'high',
    share: 0.2,
    worth: 20,
    serviceMs: 50,
    deadlineMs: 2_000,
    normalLoad: 0.1,
    targetP99Ms: 500,
  },
  {
    name: 'records',
    rank: 'normal',
    share: 0.2,
    worth: 2,
    serviceMs: 30,
    deadlineMs: 2_000,
    normalLoad: 0.15,
    targetP99Ms: 1_000,
  },
  {
    name: 'photographs',
    rank: 'low',
    share: 0.1,
    worth: 5,
    serviceMs: 200,
    deadlineMs: 5_000,
    normalLoad: 0.2,
    targetP99Ms: 5_000,
  },
];

/**
 * A load scenario: which class floods, and its offered load as a multiple of the whole capacity.
 */
export interface FloodScenario {
  readonly name: string;
  readonly floodingClass: string | undefined;
  readonly floodLoad: number;
}

export const FLOOD_SCENARIOS: readonly FloodScenario[] = [
  { name: 'usual', floodingClass: undefined, floodLoad: 0 },
  { name: 'photographs-3', floodingClass: 'photographs', floodLoad: 3 },
  { name: 'photographs-10', floodingClass: 'photographs', floodLoad: 10 },
  { name: 'paint-orders-3', floodingClass: 'paint-orders', floodLoad: 3 },
  { name: 'paint-orders-10', floodingClass: 'paint-orders', floodLoad: 10 },
];

/**
 * Offered load of the class in the scenario, as a fraction of the whole capacity; above 1 overloads
 * it.
 */
export function computeOfferedLoad(trafficClass: TrafficClass, scenario: FloodScenario): number {
  const isFlooding = trafficClass.name === scenario.floodingClass;
  return isFlooding ? scenario.floodLoad : trafficClass.normalLoad;
}

/** Builds the load classes of a scenario for a service with this many slots in total. */
export function buildLoadClasses(scenario: FloodScenario, slots: number): LoadClass[] {
  return TRAFFIC_CLASSES.map((trafficClass) => ({
    name: trafficClass.name,
    callsPerSecond:
      (computeOfferedLoad(trafficClass, scenario) * slots * 1_000) / trafficClass.serviceMs,
    method: trafficClass.name === 'records' ? 'GET' : 'POST',
    path: `/${trafficClass.name}`,
    bodyBytes: 0,
    isKeyed: trafficClass.name === 'paint-orders',
    deadlineMs: trafficClass.deadlineMs,
  }));
}
