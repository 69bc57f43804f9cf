import type { GateView } from './CactusdealRelayBalancer.js';

/** What an entry expects of a gate's load now, in calls. */
export interface ExpectedLoad {
  readonly mean: number;
  /** Standard deviation; 0 for a load known at this moment. */
  readonly deviation: number;
}

/** Least mean utilization that the uncertainty assumes, as loads of idle gates are not reported. */
const MIN_UTILIZATION = 0.3;
/** Slope at which the logistic function comes closest to the normal distribution. */
const LOGISTIC_SLOPE = 1.702;
/** Deviations beyond which the normal distribution counts as 0 or 1. */
const MAX_DEVIATIONS = 4;

/** Mean utilization of gates by their last known loads. */
export function computeUtilization(gates: readonly GateView[]): number {
  const sum = gates.reduce((total, { report }) => total + report.load / getSlots(report), 0);
  return gates.length === 0 ? 0 : sum / gates.length;
}

/**
 * Interprets a load by its age (Dahlin, "Interpreting Stale Load Information", 1999).
 *
 * Load pattern: many entries that know the same loads, up to 0.5 s old. The calls that a report counted end
 * within about a service time, and other entries send as many as they send to all gates on average: the load
 * moves towards the mean of the gates, and is the less certain the older it is.
 */
export function computeExpectedLoad(
  { report, reportedAtMs, unreportedCalls }: GateView,
  utilization: number,
  nowMs: number,
): ExpectedLoad {
  const slots = getSlots(report);
  const ageMs = Math.max(0, nowMs - reportedAtMs);
  const turnoverMs = Math.max(1, report.serviceMs) * Math.max(1, report.load / slots);
  const keptFraction = Math.exp(-ageMs / turnoverMs);
  const known = report.load * keptFraction + slots * utilization * (1 - keptFraction);
  const variance = slots * Math.max(MIN_UTILIZATION, utilization) * (1 - keptFraction ** 2);
  return { mean: known + unreportedCalls, deviation: Math.sqrt(variance) };
}

/** Expected number of calls ahead of the next one beyond the slots, for a load that is normally distributed. */
export function computeExpectedExcess({ mean, deviation }: ExpectedLoad, slots: number): number {
  const excess = mean + 1 - slots;
  if (deviation === 0 || excess > MAX_DEVIATIONS * deviation) return Math.max(0, excess);
  const deviations = Math.max(-MAX_DEVIATIONS, excess / deviation);
  const density = Math.exp((-deviations * deviations) / 2) / Math.sqrt(2 * Math.PI);
  const cumulative = 1 / (1 + Math.exp(-LOGISTIC_SLOPE * deviations));
  return Math.max(0, deviation * (deviations * cumulative + density));
}

function getSlots({ capacity }: GateView['report']): number {
  return Math.max(1, capacity);
}
