/** Moving averages of the service times of one upstream, by kind of call. */
export interface ServiceTimes {
  /** Adds the service time of an answered call, in milliseconds. */
  record(kind: string, serviceMs: number): void;
  /**
   * Adds the time until a call failed, in milliseconds. Only one that is longer than expected counts: an
   * upstream that fails at once is not fast.
   */
  recordFailed(kind: string, failedAfterMs: number): void;
  /**
   * Expected service time of a call, in milliseconds. Without samples of the kind it is the mean of
   * all kinds, at most `estimateCapMs`: too high an estimate would have every call of the kind
   * refused, so that no sample would ever correct it.
   */
  estimate(kind: string, estimateCapMs: number): number;
  /** Mean absolute deviation of the service time from its estimate, in milliseconds. */
  estimateDeviation(kind: string, estimateCapMs: number): number;
  /** Mean service time over all kinds, in milliseconds. */
  getMean(): number;
}

/** Weight of a new sample in the exponential moving averages. */
const SMOOTHING_WEIGHT = 0.08;
/** Mean service time assumed before there are samples. */
const INITIAL_MEAN_MS = 50;
/** Deviation assumed before there are samples, as a fraction of the expected service time. */
const INITIAL_DEVIATION_FRACTION = 0.25;
/** Fraction of the latency target that a healthy upstream needs at most. */
const TARGET_FRACTION = 0.3;
const MIN_ESTIMATE_CAP_MS = 10;

/**
 * Computes the cap of the service-time estimate for a call of a kind without samples, in
 * milliseconds; `targetMs` is the time left until its latency target.
 */
export function computeEstimateCapMs(targetMs: number): number {
  return Math.max(MIN_ESTIMATE_CAP_MS, targetMs * TARGET_FRACTION);
}

/** Creates the averages of an upstream without samples. */
export function createServiceTimes(): ServiceTimes {
  const meansByKind = new Map<string, number>();
  const deviationsByKind = new Map<string, number>();
  let mean: number | undefined;
  return {
    record: recordSample,
    recordFailed: (kind, failedAfterMs) => {
      if (failedAfterMs > computeExpectedMs(kind, Infinity)) recordSample(kind, failedAfterMs);
    },
    estimate: computeExpectedMs,
    estimateDeviation: (kind, estimateCapMs) =>
      deviationsByKind.get(kind) ??
      computeExpectedMs(kind, estimateCapMs) * INITIAL_DEVIATION_FRACTION,
    getMean: () => mean ?? INITIAL_MEAN_MS,
  };

  function recordSample(kind: string, serviceMs: number): void {
    const distanceMs = Math.abs(serviceMs - (meansByKind.get(kind) ?? serviceMs));
    const deviationMs = deviationsByKind.get(kind) ?? serviceMs * INITIAL_DEVIATION_FRACTION;
    deviationsByKind.set(kind, computeAverage(deviationMs, distanceMs));
    meansByKind.set(kind, computeAverage(meansByKind.get(kind), serviceMs));
    mean = computeAverage(mean, serviceMs);
  }

  function computeExpectedMs(kind: string, estimateCapMs: number): number {
    return meansByKind.get(kind) ?? Math.min(mean ?? INITIAL_MEAN_MS, estimateCapMs);
  }
}

function computeAverage(average: number | undefined, sample: number): number {
  return average === undefined ? sample : average + SMOOTHING_WEIGHT * (sample - average);
}
