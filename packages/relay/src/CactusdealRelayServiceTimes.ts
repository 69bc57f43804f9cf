/** Recent time of calls in one upstream, by kind of call. */
export interface ServiceTimes {
  record(kind: string, serviceMs: number): void;
  /**
   * Expected time of a call of the kind, in milliseconds. One that was never seen is taken to be no
   * longer than `guessMs`: an estimate that is too long would keep it from ever being seen.
   */
  estimate(kind: string, guessMs: number): number;
  /** Mean distance of a call's time from what was expected, in milliseconds. */
  estimateDeviation(kind: string, guessMs: number): number;
  /** Expected time of a call of any kind, in milliseconds. */
  getMean(): number;
}

const WEIGHT = 0.08;
const FIRST_MS = 50;
/** Part of the expected time, until calls were seen. */
const FIRST_DEVIATION_PART = 0.25;
/** Part of a target that an upstream in order takes at most. */
const USUAL_TARGET_PART = 0.3;
const LEAST_GUESS_MS = 10;

/** What a call that has `targetMs` left until it is late may take in an upstream that is not known. */
export function computeGuessMs(targetMs: number): number {
  return Math.max(LEAST_GUESS_MS, targetMs * USUAL_TARGET_PART);
}

/** Creates moving averages. */
export function createServiceTimes(): ServiceTimes {
  const byKind = new Map<string, number>();
  const deviations = new Map<string, number>();
  let mean: number | undefined;
  return {
    record: (kind, serviceMs) => {
      const distanceMs = Math.abs(serviceMs - (byKind.get(kind) ?? serviceMs));
      const deviationMs = deviations.get(kind) ?? serviceMs * FIRST_DEVIATION_PART;
      deviations.set(kind, computeAverage(deviationMs, distanceMs));
      byKind.set(kind, computeAverage(byKind.get(kind), serviceMs));
      mean = computeAverage(mean, serviceMs);
    },
    estimate: computeExpectedMs,
    estimateDeviation: (kind, guessMs) =>
      deviations.get(kind) ?? computeExpectedMs(kind, guessMs) * FIRST_DEVIATION_PART,
    getMean: () => mean ?? FIRST_MS,
  };

  function computeExpectedMs(kind: string, guessMs: number): number {
    return byKind.get(kind) ?? Math.min(mean ?? FIRST_MS, guessMs);
  }
}

function computeAverage(known: number | undefined, sample: number): number {
  return known === undefined ? sample : known + WEIGHT * (sample - known);
}
