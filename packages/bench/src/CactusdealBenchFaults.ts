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

/** What callers saw while one thing went wrong. */
export interface FaultReport {
  readonly fault: string;
  readonly sent: number;
  /** Calls that did not end well, by what their caller saw. */
  readonly failures: Readonly<Record<string, number>>;
  readonly paintOrdersP99Ms: number;
  readonly recordsP99Ms: number;
  /** Upstreams that died of a request. */
  readonly crashes: number;
}

interface FaultCase {
  readonly name: string;
  /** Calls beside the usual load. */
  readonly extra?: readonly LoadClass[];
  inject(cluster: Cluster, host: Host): Promise<void>;
  mend?(cluster: Cluster, host: Host): Promise<void>;
}

/** What a drain cost. */
export interface DrainReport {
  /** From the operator's confirmation to the last new call, in milliseconds; 0: none came later. */
  readonly lastNewCallMs: number;
  readonly callsCutOff: number;
  readonly sent: number;
  readonly failures: Readonly<Record<string, number>>;
}

const INJECT_AT_MS = 1_500;
const START_TIMEOUT_MS = 20_000;
const [USUAL] = FLOOD_SCENARIOS as [FloodScenario];

const POISON: LoadClass = {
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
    mend: (_, host) => host.startUpstream(),
  },
  {
    name: 'lying health endpoint',
    inject: (_, host) => host.commandUpstream({ claimedHealth: 'ok', isRefusing: true }),
    mend: (_, host) => host.commandUpstream({ claimedHealth: undefined, isRefusing: false }),
  },
  {
    name: 'one slow worker of four',
    inject: (_, host) => host.commandUpstream({ slowFactor: 10 }),
    mend: (_, host) => host.commandUpstream({ slowFactor: 1 }),
  },
  {
    name: 'silent connections',
    inject: async (_, host) => host.upstreamLink.goSilent(),
  },
  {
    name: 'poison request sent again and again',
    extra: [POISON],
    inject: async () => {},
    mend: async (cluster) => {
      const dead = cluster.hosts.filter((host) => !host.getUpstream().isRunning());
      await Promise.all(dead.map((host) => host.startUpstream()));
    },
  },
];

/** Runs each fault against one cluster, mended in between, and a drain at the end. */
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
  const crashPath = fault.extra === undefined ? undefined : POISON.path;
  const allHosts = cluster.hosts.map((one) => one.commandUpstream({ crashPath }));
  await Promise.all(allHosts);
  const classes = [...buildClusterLoad(USUAL), ...(fault.extra ?? [])];
  const load = runClusterLoad(cluster, classes, durationMs, seed);
  await waitMs(INJECT_AT_MS);
  await fault.inject(cluster, host);
  const result = await load;
  const dead = cluster.hosts.filter((one) => !one.getUpstream().isRunning()).length;
  await fault.mend?.(cluster, host);
  await waitUntil(() => isEveryUpstreamUp(cluster), {
    what: 'every upstream ready again',
    timeoutMs: START_TIMEOUT_MS,
  });
  return buildReport(fault, result.classes, fault.extra === undefined ? 0 : dead);
}

async function isEveryUpstreamUp(cluster: Cluster): Promise<boolean> {
  const records = cluster.hosts.map((host) =>
    host.fetchRecords().then(
      () => true,
      () => false,
    ),
  );
  return (await Promise.all(records)).every((ready) => ready);
}

function buildReport(
  fault: FaultCase,
  classes: readonly ClassResult[],
  crashes: number,
): FaultReport {
  const usual = classes.filter(({ name }) => name !== POISON.name);
  const findP99 = (name: string): number =>
    usual.find((measured) => measured.name === name)?.latency.p99Ms ?? 0;
  return {
    fault: fault.name,
    sent: usual.reduce((total, { sent }) => total + sent, 0),
    failures: countFailures(usual),
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
  const [host, drained] = [cluster.hosts[0] as Host, cluster.hosts.at(-1) as Host];
  const load = runClusterLoad(cluster, buildClusterLoad(USUAL), durationMs, seed);
  await waitMs(INJECT_AT_MS);
  const worker = drained.worker?.name ?? '';
  const intent = { type: 'drainWorker', worker, service: BENCH_SERVICE, reason: 'bench' } as const;
  await acceptIntent(host, intent);
  const confirmedAtMs = getWallTimeMs();
  const result = await load;
  const records = await drained.fetchRecords();
  const lastMs = Math.max(0, ...records.map(({ startedAtMs }) => startedAtMs - confirmedAtMs));
  return {
    lastNewCallMs: lastMs,
    callsCutOff: records.filter(({ wasCutOff }) => wasCutOff).length,
    sent: result.classes.reduce((total, { sent }) => total + sent, 0),
    failures: countFailures(result.classes),
  };
}

/** Where the benches' cluster runs, for reports. */
export const BENCH_PLACE = `${BENCH_DATA_CENTRE}/${BENCH_SERVICE}`;
