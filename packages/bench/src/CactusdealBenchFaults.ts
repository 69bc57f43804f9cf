import { getWallTimeMs, waitMs } from '@cactusdeal/shared';
import { acceptIntent, type Cluster, type Host, waitUntil } from '@cactusdeal/testing';
import {
  BENCH_DATA_CENTRE,
  BENCH_SERVICE,
  buildClusterLoad,
  runClusterLoad,
  startBenchCluster,
} from './CactusdealBenchCluster.js';
import { FLOOD_SCENARIOS, type FloodScenario } from './CactusdealBenchFloodScenario.js';
import type { ClassResult, LoadClass } from './CactusdealBenchLoadTypes.js';

/** What callers observed while one fault was active. */
export interface FaultReport {
  readonly fault: string;
  readonly sent: number;
  /**
   * Number of failed calls by the label of their outcome; calls of the poison class are left out.
   */
  readonly failures: Readonly<Record<string, number>>;
  readonly paintOrdersP99Ms: number;
  readonly recordsP99Ms: number;
  /** Number of upstreams that were down after the poison requests; 0 for the other faults. */
  readonly crashes: number;
}

interface FaultCase {
  readonly name: string;
  /**
   * Classes sent in addition to the normal load; their presence makes poison requests crash
   * upstreams.
   */
  readonly extraClasses?: readonly LoadClass[];
  /** Starts the fault at the given host. */
  inject(cluster: Cluster, host: Host): Promise<void>;
  /** Ends the fault after the load. */
  restore?(cluster: Cluster, host: Host): Promise<void>;
}

/** Effect of draining one worker under load. */
export interface DrainReport {
  /**
   * Time from the confirmation to the last call that the worker started, in milliseconds; 0 if
   * none.
   */
  readonly lastNewCallMs: number;
  /** Calls at the drained worker whose connection closed before the whole answer was sent. */
  readonly callsCutOff: number;
  readonly sent: number;
  readonly failures: Readonly<Record<string, number>>;
}

/** Time from the start of a load to its fault or drain, in milliseconds. */
const INJECT_AT_MS = 1_500;
const RESTART_TIMEOUT_MS = 20_000;
const [NORMAL_SCENARIO] = FLOOD_SCENARIOS as [FloodScenario];

/** Requests that crash the upstream that runs them. */
const POISON_CLASS: LoadClass = {
  name: 'poison',
  callsPerSecond: 4,
  method: 'POST',
  path: '/records/poison',
  bodyBytes: 100,
  isKeyed: false,
  deadlineMs: 2_000,
};

const FAULT_CASES: readonly FaultCase[] = [
  { name: 'none', inject: () => Promise.resolve() },
  {
    name: 'lost worker',
    inject: async (_, host) => {
      await host.getUpstream().kill();
    },
    restore: (_, host) => host.startUpstream(),
  },
  {
    name: 'lying health endpoint',
    inject: (_, host) => host.commandUpstream({ claimedHealth: 'ok', isRefusing: true }),
    restore: (_, host) => host.commandUpstream({ claimedHealth: undefined, isRefusing: false }),
  },
  {
    name: 'one slow worker of four',
    inject: (_, host) => host.commandUpstream({ slowFactor: 10 }),
    restore: (_, host) => host.commandUpstream({ slowFactor: 1 }),
  },
  {
    name: 'silent connections',
    inject: async (_, host) => host.upstreamLink.silenceOpenConnections(),
  },
  {
    name: 'poison request sent again and again',
    extraClasses: [POISON_CLASS],
    inject: async () => {},
    restore: async (cluster) => {
      const dead = cluster.hosts.filter((host) => !host.getUpstream().isRunning());
      await Promise.all(dead.map((host) => host.startUpstream()));
    },
  },
];

/** Runs each fault against the same cluster, which recovers in between, and a drain at the end. */
export async function runFaults(
  durationMs: number,
  seed: number,
): Promise<{ faults: FaultReport[]; drain: DrainReport }> {
  const cluster = await startBenchCluster();
  try {
    const faults: FaultReport[] = [];
    for (const fault of FAULT_CASES) faults.push(await runFault(cluster, fault, durationMs, seed));
    return { faults, drain: await runDrain(cluster, durationMs, seed) };
  } finally {
    await cluster.close();
  }
}

async function runFault(
  cluster: Cluster,
  fault: FaultCase,
  durationMs: number,
  seed: number,
): Promise<FaultReport> {
  const host = cluster.hosts.at(-1) as Host;
  const crashPath = fault.extraClasses === undefined ? undefined : POISON_CLASS.path;
  const commands = cluster.hosts.map((each) => each.commandUpstream({ crashPath }));
  await Promise.all(commands);
  const classes = [...buildClusterLoad(NORMAL_SCENARIO), ...(fault.extraClasses ?? [])];
  const load = runClusterLoad(cluster, classes, durationMs, seed);
  await waitMs(INJECT_AT_MS);
  await fault.inject(cluster, host);
  const result = await load;
  const crashedCount = cluster.hosts.filter((each) => !each.getUpstream().isRunning()).length;
  await fault.restore?.(cluster, host);
  await waitUntil(() => isEveryUpstreamReachable(cluster), {
    what: 'every upstream reachable after the fault',
    timeoutMs: RESTART_TIMEOUT_MS,
  });
  return buildReport(fault, result.classes, fault.extraClasses === undefined ? 0 : crashedCount);
}

async function isEveryUpstreamReachable(cluster: Cluster): Promise<boolean> {
  const probes = cluster.hosts.map((host) =>
    host.fetchRecords().then(
      () => true,
      () => false,
    ),
  );
  return (await Promise.all(probes)).every((isReachable) => isReachable);
}

function buildReport(
  fault: FaultCase,
  classes: readonly ClassResult[],
  crashes: number,
): FaultReport {
  const normalClasses = classes.filter(({ name }) => name !== POISON_CLASS.name);
  const findP99 = (name: string): number =>
    normalClasses.find((measured) => measured.name === name)?.latency.p99Ms ?? 0;
  return {
    fault: fault.name,
    sent: normalClasses.reduce((total, { sent }) => total + sent, 0),
    failures: countFailures(normalClasses),
    paintOrdersP99Ms: findP99('paint-orders'),
    recordsP99Ms: findP99('records'),
    crashes,
  };
}

function countFailures(classes: readonly ClassResult[]): Record<string, number> {
  const failures: Record<string, number> = {};
  classes.forEach(({ endings }) =>
    Object.entries(endings)
      .filter(([label]) => label !== 'ok')
      .forEach(([label, count]) => {
        failures[label] = (failures[label] ?? 0) + count;
      }),
  );
  return failures;
}

async function runDrain(cluster: Cluster, durationMs: number, seed: number): Promise<DrainReport> {
  const [operatorHost, drainedHost] = [cluster.hosts[0] as Host, cluster.hosts.at(-1) as Host];
  const load = runClusterLoad(cluster, buildClusterLoad(NORMAL_SCENARIO), durationMs, seed);
  await waitMs(INJECT_AT_MS);
  const worker = drainedHost.worker?.name ?? '';
  const intent = { type: 'drainWorker', worker, service: BENCH_SERVICE, reason: 'bench' } as const;
  await acceptIntent(operatorHost, intent);
  const confirmedAtMs = getWallTimeMs();
  const result = await load;
  const records = await drainedHost.fetchRecords();
  const lastStartDelayMs = Math.max(
    0,
    ...records.map(({ startedAtMs }) => startedAtMs - confirmedAtMs),
  );
  return {
    lastNewCallMs: lastStartDelayMs,
    callsCutOff: records.filter(({ wasCutOff }) => wasCutOff).length,
    sent: result.classes.reduce((total, { sent }) => total + sent, 0),
    failures: countFailures(result.classes),
  };
}

/** Data centre and service of the benches' cluster. */
export const BENCH_PLACE = `${BENCH_DATA_CENTRE}/${BENCH_SERVICE}`;
