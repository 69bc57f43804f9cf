/** Recent time of calls in one upstream, by kind of call. */
export interface ServiceTimes {
  record(kind: string, serviceMs: number): void;
  /** Expected time of a call of the kind, in milliseconds. */
  estimate(kind: string): number;
  /** Expected time of a call of any kind, in milliseconds. */
  getMean(): number;
}

const WEIGHT = 0.08;
const FIRST_MS = 50;

/** Creates moving averages; a kind without samples is taken to be like the others. */
export function createServiceTimes(): ServiceTimes {
  const byKind = new Map<string, number>();
  let mean: number | undefined;
  return {
    record: (kind, serviceMs) => {
      byKind.set(kind, computeAverage(byKind.get(kind), serviceMs));
      mean = computeAverage(mean, serviceMs);
    },
    estimate: (kind) => byKind.get(kind) ?? mean ?? FIRST_MS,
    getMean: () => mean ?? FIRST_MS,
  };
}

function computeAverage(known: number | undefined, sample: number): number {
  return known === undefined ? sample : known + WEIGHT * (sample - known);
}
