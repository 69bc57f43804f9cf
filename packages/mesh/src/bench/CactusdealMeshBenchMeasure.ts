import type { MeshNode } from '../CactusdealMesh.js';

/** Resources that a daemon used over a window, on average of all daemons. */
export interface Usage {
  readonly sentBytesPerSecond: number;
  readonly sentFramesPerSecond: number;
  /** Processor time as a fraction of one core. */
  readonly cpuRatio: number;
  /** Largest value of any daemon. */
  readonly maxSentBytesPerSecond: number;
}

/** Percentiles and maximum of times, in milliseconds. */
export interface Distribution {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** A straight line fitted to measured points. */
export interface LinearFit {
  readonly intercept: number;
  readonly slope: number;
}

const MICROSECONDS_PER_MS = 1000;
const MS_PER_SECOND = 1000;

/** Measures the resources that the nodes use during `run`. */
export async function measureUsage(
  nodes: readonly MeshNode[],
  run: () => Promise<void>,
): Promise<Usage> {
  const before = nodes.map((node) => node.mesh.getCounters());
  const cpuBefore = process.cpuUsage();
  const startedAtMs = performance.now();
  await run();
  const durationMs = performance.now() - startedAtMs;
  const cpu = process.cpuUsage(cpuBefore);
  const after = nodes.map((node) => node.mesh.getCounters());
  const sumDeltas = (name: string) =>
    after.map((counters, index) => Number(counters[name]) - Number(before[index]?.[name]));
  const bytes = sumDeltas('local.sentBytes');
  const perSecond = MS_PER_SECOND / durationMs;
  return {
    sentBytesPerSecond: computeMean(bytes) * perSecond,
    sentFramesPerSecond: computeMean(sumDeltas('local.sentFrames')) * perSecond,
    cpuRatio: (cpu.user + cpu.system) / MICROSECONDS_PER_MS / durationMs / nodes.length,
    maxSentBytesPerSecond: Math.max(...bytes) * perSecond,
  };
}

/** Computes the percentiles and maximum of times; NaN without times. */
export function computeDistribution(timesMs: readonly number[]): Distribution {
  const sorted = [...timesMs].sort((first, second) => first - second);
  const pick = (ratio: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(ratio * sorted.length))] ?? NaN;
  return { p50Ms: pick(0.5), p99Ms: pick(0.99), maxMs: sorted.at(-1) ?? NaN };
}

/** Fits a line by least squares. */
export function computeLinearFit(points: readonly (readonly [number, number])[]): LinearFit {
  const meanX = computeMean(points.map(([x]) => x));
  const meanY = computeMean(points.map(([, y]) => y));
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}

/** Formats a result as JSON, with numbers rounded to four significant digits. */
export function formatResult(value: unknown): string {
  return JSON.stringify(value, (_, item: unknown) =>
    typeof item === 'number' ? Number(item.toPrecision(4)) : item,
  );
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
