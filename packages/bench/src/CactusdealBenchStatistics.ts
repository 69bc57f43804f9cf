/** Number, median, 99th percentile and maximum of a set of samples. */
export interface Distribution {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly largest: number;
}

/** Least-squares line through measured points. */
export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
}

/** Computes the distribution of the samples; all values but `count` are NaN when there are none. */
export function computeDistribution(samples: readonly number[]): Distribution {
  const sorted = [...samples].sort((left, right) => left - right);
  return {
    count: sorted.length,
    p50: pickQuantile(sorted, 0.5),
    p99: pickQuantile(sorted, 0.99),
    largest: sorted.at(-1) ?? Number.NaN,
  };
}

/** Fits y = slope * x + intercept to points `[x, y]` by least squares. */
export function fitLine(points: readonly (readonly [number, number])[]): LineFit {
  const count = points.length;
  const sum = (pick: (point: readonly [number, number]) => number): number =>
    points.reduce((total, point) => total + pick(point), 0);
  const sumX = sum(([x]) => x);
  const sumY = sum(([, y]) => y);
  const sumXY = sum(([x, y]) => x * y);
  const sumXX = sum(([x]) => x * x);
  const slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
  return { slope, intercept: (sumY - slope * sumX) / count };
}

function pickQuantile(sorted: readonly number[], quantile: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? Number.NaN;
}
