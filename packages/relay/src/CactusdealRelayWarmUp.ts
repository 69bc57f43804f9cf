import type { ServiceTimes } from './CactusdealRelayServiceTimes.js';

/**
 * Wraps the service times of an upstream that is slower than usual by the factor of the moment.
 *
 * Load pattern: an upstream that has just started and is slow for some seconds. Its times do not change what
 * is known of its usual ones, and admission expects it to be slow from its first call.
 */
export function createWarmUpTimes(times: ServiceTimes, getFactor: () => number): ServiceTimes {
  return {
    record: (kind, serviceMs) => times.record(kind, serviceMs / getFactor()),
    recordFailed: (kind, failedAfterMs) => times.recordFailed(kind, failedAfterMs / getFactor()),
    estimate: (kind, estimateCapMs) => times.estimate(kind, estimateCapMs) * getFactor(),
    estimateDeviation: (kind, estimateCapMs) =>
      times.estimateDeviation(kind, estimateCapMs) * getFactor(),
    getMean: () => times.getMean() * getFactor(),
  };
}
