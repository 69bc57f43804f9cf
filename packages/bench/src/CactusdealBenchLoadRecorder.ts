import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';
import type { CallEnding, ClassResult, LatencySummary } from './CactusdealBenchLoadTypes.js';

const MICROSECONDS = 1_000;
const MOST_MICROSECONDS = 600_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Histograms and counts of one class, in a form that passes between processes. */
export interface RecordedClass {
  readonly name: string;
  readonly sent: number;
  readonly good: number;
  readonly endings: Readonly<Record<string, number>>;
  /** Encoded histograms, in microseconds. */
  readonly latency: string;
  readonly failureLatency: string;
  readonly sendDelay: string;
}

/** Records the calls of one class. */
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

  public recordEnding({ label, isGood }: CallEnding, sincePlannedMs: number): void {
    this.endings[label] = (this.endings[label] ?? 0) + 1;
    if (isGood) this.good += 1;
    recordMs(isGood ? this.latency : this.failureLatency, sincePlannedMs);
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
    highestTrackableValue: MOST_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function recordMs(histogram: Histogram, ms: number): void {
  const microseconds = Math.round(ms * MICROSECONDS);
  histogram.recordValue(Math.min(Math.max(microseconds, 1), MOST_MICROSECONDS));
}

function buildSummary(histogram: Histogram): LatencySummary {
  const read = (percentile: number): number =>
    histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile) / MICROSECONDS;
  return {
    count: histogram.totalCount,
    p50Ms: read(50),
    p90Ms: read(90),
    p99Ms: read(99),
    p999Ms: read(99.9),
    maxMs: histogram.totalCount === 0 ? 0 : histogram.maxValue / MICROSECONDS,
  };
}
