import { Counter, Gauge, Histogram, type Registry } from 'prom-client';
import type { CompiledRoute } from './CactusdealTrafficRouteTable.js';
import type { Refusal } from './CactusdealTrafficTypes.js';

const BUCKETS_SECONDS = [
  0.00025, 0.0005, 0.00085, 0.0015, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
  30,
];
const CALL_LABELS = ['role', 'rank', 'tenant', 'class'] as const;

/** The role in which a daemon made an observation. */
export type CallRole = 'entry' | 'gate';

/** Durations of one call, in milliseconds. */
export interface CallTimes {
  readonly totalMs: number;
  /** Time until the response began, without queue and upstream; undefined if there was none. */
  readonly addedMs?: number | undefined;
  readonly queuedMs?: number | undefined;
}

/** Records the metrics of calls. */
export interface TrafficMetrics {
  recordCall(role: CallRole, route: CompiledRoute, outcome: string, times: CallTimes): void;
  recordRefusal(role: CallRole, refusal: Refusal): void;
  recordRetry(reason: string): void;
  recordSilentConnection(): void;
  /** Registers the function that the gauges read when they are collected. */
  observeGate(read: () => GateGauges): void;
}

/** Current state of the gate. */
export interface GateGauges {
  readonly slots: number;
  readonly inUse: number;
  readonly queued: number;
  readonly connections: number;
}

interface RouteSeries {
  readonly totalSeconds: Histogram.Internal<string>;
  readonly addedSeconds: Histogram.Internal<string>;
  readonly queueSeconds: Histogram.Internal<string>;
  readonly count: (outcome: string) => void;
}

/** Creates the metrics of calls in a registry; may be called once per registry. */
export function createTrafficMetrics(registry: Registry): TrafficMetrics {
  const registers = [registry];
  const total = createHistogram('cactusdeal_call_seconds', 'Total duration of a call.');
  const added = createHistogram(
    'cactusdeal_call_added_seconds',
    'Time until the response of a call began, without queue and upstream.',
  );
  const queue = createHistogram('cactusdeal_call_queue_seconds', 'Queueing delay of a call.');
  const calls = new Counter({
    name: 'cactusdeal_calls_total',
    help: 'Calls by outcome.',
    labelNames: [...CALL_LABELS, 'outcome'],
    registers,
  });
  const refusals = new Counter({
    name: 'cactusdeal_refusals_total',
    help: 'Calls that were refused, by kind.',
    labelNames: ['role', 'kind', 'outcome'],
    registers,
  });
  const retries = new Counter({
    name: 'cactusdeal_retries_total',
    help: 'Retried attempts, by the kind of the preceding refusal.',
    labelNames: ['reason'],
    registers,
  });
  const silent = new Counter({
    name: 'cactusdeal_silent_connections_total',
    help: 'Connections that were replaced because they went silent.',
    registers,
  });

  const series = new WeakMap<CompiledRoute, Map<CallRole, RouteSeries>>();

  return {
    recordCall: (role, route, outcome, times) => {
      const routeSeries = getSeries(role, route);
      routeSeries.totalSeconds.observe(times.totalMs / 1000);
      if (times.addedMs !== undefined)
        routeSeries.addedSeconds.observe(Math.max(0, times.addedMs) / 1000);
      if (times.queuedMs !== undefined) routeSeries.queueSeconds.observe(times.queuedMs / 1000);
      routeSeries.count(outcome);
    },
    recordRefusal: (role, refusal) =>
      refusals.inc({ role, kind: refusal.kind, outcome: refusal.outcome }),
    recordRetry: (reason) => retries.inc({ reason }),
    recordSilentConnection: () => silent.inc(),
    observeGate: (read) => registerGauges(read, registers),
  };

  /** Caches the series of a route, because looking them up by label costs more than observing. */
  function getSeries(role: CallRole, route: CompiledRoute): RouteSeries {
    const byRole = series.get(route) ?? new Map<CallRole, RouteSeries>();
    series.set(route, byRole);
    const known = byRole.get(role);
    if (known !== undefined) return known;
    const labels = toLabels(role, route);
    const built: RouteSeries = {
      totalSeconds: total.labels(labels),
      addedSeconds: added.labels(labels),
      queueSeconds: queue.labels(labels),
      count: createOutcomeCounter(labels),
    };
    byRole.set(role, built);
    return built;
  }

  function createOutcomeCounter(labels: Record<string, string>): (outcome: string) => void {
    const byOutcome = new Map<string, Counter.Internal>();
    return (outcome) => {
      const known = byOutcome.get(outcome) ?? calls.labels({ ...labels, outcome });
      byOutcome.set(outcome, known);
      known.inc();
    };
  }

  function createHistogram(name: string, help: string): Histogram {
    return new Histogram({
      name,
      help,
      labelNames: CALL_LABELS,
      buckets: BUCKETS_SECONDS,
      registers,
    });
  }
}

function registerGauges(read: () => GateGauges, registers: Registry[]): void {
  const gauges: readonly [string, string, (state: GateGauges) => number][] = [
    ['cactusdeal_gate_slots', 'Slots of the upstream.', (state) => state.slots],
    ['cactusdeal_gate_slots_in_use', 'Slots in use by calls.', (state) => state.inUse],
    ['cactusdeal_gate_queued', 'Calls that wait for a slot.', (state) => state.queued],
    ['cactusdeal_gate_connections', 'Connections to the upstream.', (state) => state.connections],
  ];
  for (const [name, help, select] of gauges) {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers,
      collect: () => gauge.set(select(read())),
    });
  }
}

function toLabels(role: CallRole, { tenant, route }: CompiledRoute): Record<string, string> {
  return { role, rank: route.rank, tenant, class: route.class };
}
