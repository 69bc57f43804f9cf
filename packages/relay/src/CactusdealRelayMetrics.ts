import { type Pause } from '@cactusdeal/shared';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { CallRecord } from './CactusdealRelayEntry.js';
import type { QuotaStatus } from './CactusdealRelayQuotaExchange.js';
import { addQuotaMetrics } from './CactusdealRelayQuotaMetrics.js';
import type { Rollout } from './CactusdealRelayRolloutTypes.js';
import type { CallStage, GateReport } from './CactusdealRelayTypes.js';

/** The relay's metrics for Prometheus. */
export interface RelayMetrics {
  recordCall(record: CallRecord): void;
  /** Counts a call that is sent to the upstream on this host. */
  recordSent(isNested: boolean): void;
  /** Counts a fingerprint among the calls that a crash of the upstream interrupted. */
  recordInterruption(): void;
  /** Counts a call that was cancelled. */
  recordCancelled(stage: CallStage): void;
  /** Counts a call that got 401. */
  recordUnauthorised(): void;
  /** Counts a call that started before one whose organisation had used more of the upstream's slots. */
  recordReordered(): void;
  /** Counts a version of the configuration that could not be read. */
  recordRejection(): void;
  /** Counts what this release does not know in a version that came into force. */
  recordWarnings(count: number): void;
  /** Counts a body of a caller that was refused because others had taken the memory. */
  recordEviction(): void;
  /** Counts a call that this entry sent to the target of a running rollout. */
  recordExposure(service: string): void;
  /** Counts a call that was refused because its answer would cross the uplink too late. */
  recordUplinkRefusal(): void;
  /** Counts a call that was refused because its body would cross the downlink too late. */
  recordDownlinkRefusal(): void;
  recordPause(pause: Pause): void;
  recordOverQuota(organisation: string): void;
  /** Renders the metrics in the text exposition format. */
  render(): Promise<string>;
}

/** Sources of the gauges, read on each scrape. */
export interface MetricsSources {
  getReport(): GateReport;
  /** The limit that the upstream names, in calls per second; undefined if there is none. */
  getLimit(): number | undefined;
  getVersion(): number;
  /**
   * Time since the last successful read from the platform, in milliseconds; negative if there was
   * none or reading fails.
   */
  getPlatformAgeMs(): number;
  /** Highest era of the store that this daemon knows; 0 if the store names none. */
  getStoreEra(): number;
  /** Counts the fingerprints whose calls are refused because they crashed upstreams. */
  countQuarantined(): number;
  listRollouts(): readonly Rollout[];
  countLinks(): number;
  countLostLines(): number;
  /** Counts the bytes of large answers that wait to be written; undefined without an uplink. */
  countUplinkBytes?(): number | undefined;
  /** Undefined while no organisation has a quota. */
  getQuotaStatus(): QuotaStatus | undefined;
}

const BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5];
const MS_PER_SECOND = 1_000;
const NO_LIMIT = -1;

export function createRelayMetrics(sources: MetricsSources): RelayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const durations = new Histogram({
    name: 'cactusdeal_call_seconds',
    help: 'Duration of calls at the entry, by kind and outcome',
    labelNames: ['kind', 'outcome'],
    buckets: BUCKETS_SECONDS,
    registers,
  });
  const sentCalls = new Counter({
    name: 'cactusdeal_upstream_calls_total',
    help: 'Calls sent to the upstream, by whether an upstream made them while it ran another one',
    labelNames: ['nested'],
    registers,
  });
  const interruptions = new Counter({
    name: 'cactusdeal_crash_interruptions_total',
    help: 'Different calls that crashes of the upstream interrupted',
    registers,
  });
  const cancelledCalls = new Counter({
    name: 'cactusdeal_cancelled_calls_total',
    help: 'Calls that were no longer wanted, by how far they had come',
    labelNames: ['stage'],
    registers,
  });
  const unauthorisedCalls = new Counter({
    name: 'cactusdeal_unauthorised_calls_total',
    help: 'Calls that got 401, as they had no API key of an organisation',
    registers,
  });
  const reorderedCalls = new Counter({
    name: 'cactusdeal_reordered_calls_total',
    help: 'Calls that started before an earlier one whose organisation had used more of the slots',
    registers,
  });
  const rejections = new Counter({
    name: 'cactusdeal_version_rejections_total',
    help: 'Versions of the configuration that could not be read',
    registers,
  });
  const warnings = new Counter({
    name: 'cactusdeal_version_warnings_total',
    help: 'What this release does not know in versions that came into force',
    registers,
  });
  const evictions = new Counter({
    name: 'cactusdeal_bodies_evicted_total',
    help: 'Bodies of callers that were refused because others had taken the memory',
    registers,
  });
  const exposures = new Counter({
    name: 'cactusdeal_rollout_calls_total',
    help: 'Calls that this entry sent to the target of a running rollout, by service',
    labelNames: ['service'],
    registers,
  });
  const rollouts: Gauge = new Gauge({
    name: 'cactusdeal_rollout',
    help: 'Known rollouts, by service, target version, phase and whether the store holds it',
    labelNames: ['service', 'target', 'phase', 'stored'],
    registers,
    collect: () => {
      rollouts.reset();
      sources.listRollouts().forEach(({ order, phase, isStored }) => {
        const { service, targetVersion: target } = order;
        rollouts.set({ service, target, phase, stored: String(isStored) }, 1);
      });
    },
  });
  const uplinkRefusals = new Counter({
    name: 'cactusdeal_uplink_refused_total',
    help: 'Calls that were refused because their answers would have crossed the uplink too late',
    registers,
  });
  const downlinkRefusals = new Counter({
    name: 'cactusdeal_downlink_refused_total',
    help: 'Calls that were refused because their bodies would have crossed the downlink too late',
    registers,
  });
  const pauses = new Histogram({
    name: 'cactusdeal_event_loop_pause_seconds',
    help: 'Times of 0.1 s and more in which the daemon handled nothing',
    buckets: BUCKETS_SECONDS,
    registers,
  });
  addGauge(
    'cactusdeal_upstream_limit',
    'Calls per second that the upstream takes as it says, -1 if it names no limit',
    () => sources.getLimit() ?? NO_LIMIT,
  );
  addGauge(
    'cactusdeal_gate_load',
    'Running and queued calls at this gate, as it reports them',
    () => sources.getReport().load,
  );
  addGauge('cactusdeal_gate_open', 'Whether the gate accepts calls, 1 or 0', () =>
    Number(sources.getReport().open),
  );
  addGauge('cactusdeal_version', 'Configuration version in force', sources.getVersion);
  addGauge(
    'cactusdeal_platform_age_ms',
    'Time since the last successful read from the platform, -1 if none or failing',
    sources.getPlatformAgeMs,
  );
  addGauge(
    'cactusdeal_store_era',
    'Highest known era of the store, which rises when it is restored from a copy; 0 without eras',
    sources.getStoreEra,
  );
  addGauge(
    'cactusdeal_quarantined_calls',
    'Different calls that are refused because they crashed upstreams',
    sources.countQuarantined,
  );
  addGauge('cactusdeal_links', 'Open links to other daemons', sources.countLinks);
  addGauge('cactusdeal_log_lines_lost', 'Log lines that were dropped', sources.countLostLines);
  addGauge(
    'cactusdeal_uplink_waiting_bytes',
    'Bytes of large answers that wait to be written to links; 0 if the bandwidth is unknown',
    () => sources.countUplinkBytes?.() ?? 0,
  );
  const quotas = addQuotaMetrics(registry, () => sources.getQuotaStatus());
  return {
    recordCall: ({ kind, outcome, durationMs }) => {
      durations.observe({ kind, outcome }, durationMs / MS_PER_SECOND);
    },
    recordSent: (isNested) => sentCalls.inc({ nested: String(isNested) }),
    recordInterruption: () => interruptions.inc(),
    recordCancelled: (stage) => cancelledCalls.inc({ stage }),
    recordUnauthorised: () => unauthorisedCalls.inc(),
    recordReordered: () => reorderedCalls.inc(),
    recordRejection: () => rejections.inc(),
    recordWarnings: (count) => warnings.inc(count),
    recordEviction: () => evictions.inc(),
    recordExposure: (service) => exposures.inc({ service }),
    recordUplinkRefusal: () => uplinkRefusals.inc(),
    recordDownlinkRefusal: () => downlinkRefusals.inc(),
    recordPause: ({ durationMs }) => pauses.observe(durationMs / MS_PER_SECOND),
    recordOverQuota: (organisation) => quotas.recordRefusal(organisation),
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
