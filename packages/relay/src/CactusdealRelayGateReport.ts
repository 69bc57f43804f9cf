import type { RateLimit } from './CactusdealRelayRateLimit.js';
import type { GateReport } from './CactusdealRelayTypes.js';

const MS_PER_SECOND = 1_000;

/**
 * Expresses the rate limit of a gate as slots and load, so that the wait that entries compute from the
 * report is the one that the limit causes. By Little's law, calls at the limit use as many slots on
 * average as the limit times their service time.
 */
export function applyRateLimit(
  report: GateReport,
  rateLimit: RateLimit,
  waiting: number,
  nowMs: number,
): GateReport {
  const callsPerSecond = rateLimit.get();
  const limitedSlots = rateLimit.countSlots(report.serviceMs);
  if (callsPerSecond === undefined || limitedSlots >= report.capacity) return report;
  const capacity = Math.max(1, limitedSlots);
  const waitMs = rateLimit.computeWaitMs(waiting, nowMs);
  const callsBeyondSlots = Math.max(0, report.load + 1 - report.capacity);
  const load =
    waitMs > 0
      ? capacity - 1 + (waitMs * callsPerSecond) / MS_PER_SECOND
      : Math.min(report.load, capacity - 1) + callsBeyondSlots;
  const serviceMs = (capacity / callsPerSecond) * MS_PER_SECOND;
  return {
    ...report,
    capacity: toTenth(capacity),
    load: toTenth(load),
    serviceMs: Math.round(serviceMs),
  };
}

function toTenth(value: number): number {
  return Math.round(value * 10) / 10;
}

/** Load up to this fraction of the slots does not affect the choice of a gate, and is not reported. */
const MIN_REPORTED_LOAD_FRACTION = 0.4;
/** Change of the failure rate that is reported whatever the load is. */
const MIN_REPORTED_FAILURE_CHANGE = 0.2;

/** Whether a gate reports to the daemons of its data centre, given the load that it reported last. */
export function isReportDue(
  { capacity, load, failureRate }: GateReport,
  lastReported: Pick<GateReport, 'load' | 'failureRate'>,
): boolean {
  if (Math.abs(failureRate - lastReported.failureRate) >= MIN_REPORTED_FAILURE_CHANGE) return true;
  return Math.max(load, lastReported.load) > capacity * MIN_REPORTED_LOAD_FRACTION;
}
