import { Gauge, Histogram, Registry } from 'prom-client';
import type { CallRecord } from './CactusdealRelayEntry.js';
import type { GateReport } from './CactusdealRelayTypes.js';

/** What the relay counts, as text for Prometheus. */
export interface RelayMetrics {
  recordCall(record: CallRecord): void;
  render(): Promise<string>;
}

/** Where gauges are read from. */
export interface MetricsSources {
  getReport(): GateReport;
  getVersion(): number;
  /** Age of the last word from the platform, in milliseconds; below 0 when it is lost. */
  getPlatformAgeMs(): number;
  countLinks(): number;
  countLostLines(): number;
}

const BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5];
const MS_PER_SECOND = 1_000;

export function createRelayMetrics(sources: MetricsSources): RelayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const durations = new Histogram({
    name: 'cactusdeal_call_seconds',
    help: 'Time of calls at the entry, by kind and outcome',
    labelNames: ['kind', 'outcome'],
    buckets: BUCKETS_SECONDS,
    registers,
  });
  addGauge('cactusdeal_gate_load', 'Calls that run or wait here', () => sources.getReport().load);
  addGauge('cactusdeal_gate_open', 'Whether the gate takes calls', () =>
    Number(sources.getReport().open),
  );
  addGauge('cactusdeal_version', 'Configuration version in force', sources.getVersion);
  addGauge('cactusdeal_platform_age_ms', 'Age of the last word', sources.getPlatformAgeMs);
  addGauge('cactusdeal_links', 'Links that are open', sources.countLinks);
  addGauge('cactusdeal_log_lines_lost', 'Log lines not written', sources.countLostLines);
  return {
    recordCall: ({ kind, outcome, durationMs }) => {
      durations.observe({ kind, outcome }, durationMs / MS_PER_SECOND);
    },
    render: () => registry.metrics(),
  };

  function addGauge(name: string, help: string, getValue: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers,
      collect: () => gauge.set(getValue()),
    });
  }
}
