import type { Rank } from '@cactusdeal/schema';
import type { LoadClass } from './CactusdealBenchLoadTypes.js';

/** A class of calls as a gate sees it. */
export interface FloodClass {
  readonly name: string;
  readonly rank: Rank;
  readonly share: number;
  readonly worth: number;
  /** Mean time that the upstream takes, in milliseconds. */
  readonly serviceMs: number;
  readonly deadlineMs: number;
  /** Slots that the class needs on an ordinary day, as a part of all. */
  readonly usualLoad: number;
  /** Longest p99 that is wanted of the class on any day but one on which it floods itself. */
  readonly targetP99Ms: number;
}

/** Workers of one service and their slots, as at Oviedo. */
export const FLOOD_WORKERS = 4;
export const FLOOD_SLOTS = 12;

/** Oviedo's four kinds of work on workers that serve all of them. */
export const FLOOD_CLASSES: readonly FloodClass[] = [
  {
    name: 'paint-orders',
    rank: 'critical',
    share: 0.3,
    worth: 100,
    serviceMs: 40,
    deadlineMs: 1_000,
    usualLoad: 0.1,
    targetP99Ms: 250,
  },
  {
    name: 'complaints',
    rank: 'high',
    share: 0.2,
    worth: 20,
    serviceMs: 50,
    deadlineMs: 2_000,
    usualLoad: 0.1,
    targetP99Ms: 500,
  },
  {
    name: 'records',
    rank: 'normal',
    share: 0.2,
    worth: 2,
    serviceMs: 30,
    deadlineMs: 2_000,
    usualLoad: 0.15,
    targetP99Ms: 1_000,
  },
  {
    name: 'photographs',
    rank: 'low',
    share: 0.1,
    worth: 5,
    serviceMs: 200,
    deadlineMs: 5_000,
    usualLoad: 0.2,
    targetP99Ms: 5_000,
  },
];

/** A day: which class floods, and how much of the whole capacity it alone wants. */
export interface FloodScenario {
  readonly name: string;
  readonly floodClass: string | undefined;
  readonly timesCapacity: number;
}

export const FLOOD_SCENARIOS: readonly FloodScenario[] = [
  { name: 'usual', floodClass: undefined, timesCapacity: 0 },
  { name: 'photographs-3', floodClass: 'photographs', timesCapacity: 3 },
  { name: 'photographs-10', floodClass: 'photographs', timesCapacity: 10 },
  { name: 'paint-orders-3', floodClass: 'paint-orders', timesCapacity: 3 },
  { name: 'paint-orders-10', floodClass: 'paint-orders', timesCapacity: 10 },
];

/** Part of the whole capacity that the class wants on such a day. */
export function computeLoad(floodClass: FloodClass, scenario: FloodScenario): number {
  const isFlood = floodClass.name === scenario.floodClass;
  return isFlood ? scenario.timesCapacity : floodClass.usualLoad;
}

/** The load of a scenario on a number of slots. */
export function buildLoadClasses(scenario: FloodScenario, slots: number): LoadClass[] {
  return FLOOD_CLASSES.map((floodClass) => ({
    name: floodClass.name,
    callsPerSecond: (computeLoad(floodClass, scenario) * slots * 1_000) / floodClass.serviceMs,
    method: floodClass.name === 'records' ? 'GET' : 'POST',
    path: `/${floodClass.name}`,
    bodyBytes: 0,
    isKeyed: floodClass.name === 'paint-orders',
    deadlineMs: floodClass.deadlineMs,
  }));
}
