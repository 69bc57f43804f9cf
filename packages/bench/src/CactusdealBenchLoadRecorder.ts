import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';
import type { CallOutcome, ClassResult, LatencySummary } from './CactusdealBenchLoadTypes.js';

const MICROSECONDS_PER_MS = 1_000;
const MAX_MICROSECONDS = 600_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Histograms and counts of one class, serialisable so that child processes can send them. */
export interface RecordedClass {
  readonly name: string;
  readonly sent: number;
  readonly good: number;
  readonly endings: Readonly<Record<string, number>>;
  /** Histograms in microseconds, as compressed base64. */
  readonly latency: string;
  readonly failureLatency: string;
  readonly sendDelay: string;
}

/** Accumulates the latencies and outcomes of one class. */
export class ClassRecorder {
  private sent = 0;

  private good = 0;

  private readonly endings: Record<string, number> = {};

  private readonly latency = createHistogram();

  private readonly failureLatency = createHistogram();

  private readonly sendDelay = createHistogram();

  public constructor(private readonly name: string) {}

  public recordSent(delayMs: number): void {
    this.sent += 1;
    recordMs(this.sendDelay, delayMs);
  }

  public recordOutcome({ label, isSuccess }: CallOutcome, latencyMs: number): void {
    this.endings[label] = (this.endings[label] ?? 0) + 1;
    if (isSuccess) this.good += 1;
    recordMs(isSuccess ? this.latency : this.failureLatency, latencyMs);
  }

  public merge(other: RecordedClass): void {
    this.sent += other.sent;
    this.good += other.good;
    Object.entries(other.endings).forEach(([label, count]) => {
      this.endings[label] = (this.endings[label] ?? 0) + count;
    });
    this.latency.add(decodeFromCompressedBase64(other.latency));
    this.failureLatency.add(decodeFromCompressedBase64(other.failureLatency));
    this.sendDelay.add(decodeFromCompressedBase64(other.sendDelay));
  }

  public getRecorded(): RecordedClass {
    const { name, sent, good, endings } = this;
    const latency = encodeIntoCompressedBase64(this.latency);
    const failureLatency = encodeIntoCompressedBase64(this.failureLatency);
    const sendDelay = encodeIntoCompressedBase64(this.sendDelay);
    return { name, sent, good, endings, latency, failureLatency, sendDelay };
  }

  public summarize(durationMs: number): ClassResult {
    const { name, sent, good, endings } = this;
    const goodPerSecond = Math.round((good / durationMs) * 10_000) / 10;
    const latency = buildSummary(this.latency);
    const failureLatency = buildSummary(this.failureLatency);
    const sendDelay = buildSummary(this.sendDelay);
    return { name, sent, good, goodPerSecond, endings, latency, failureLatency, sendDelay };
  }
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function recordMs(histogram: Histogram, ms: number): void {
  const microseconds = Math.round(ms * MICROSECONDS_PER_MS);
  histogram.recordValue(Math.min(Math.max(microseconds, 1), MAX_MICROSECONDS));
}

function buildSummary(histogram: Histogram): LatencySummary {
  const getPercentileMs = (percentile: number): number =>
    histogram.totalCount === 0
      ? 0
      : histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return {
    count: histogram.totalCount,
    p50Ms: getPercentileMs(50),
    p90Ms: getPercentileMs(90),
    p99Ms: getPercentileMs(99),
    p999Ms: getPercentileMs(99.9),
    maxMs: histogram.totalCount === 0 ? 0 : histogram.maxValue / MICROSECONDS_PER_MS,
  };
}
