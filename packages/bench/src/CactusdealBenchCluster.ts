import type { Operation } from '@cactusdeal/schema';
import { createSeededRandom, getWallTimeMs } from '@cactusdeal/shared';
import {
  acceptIntent,
  type Cluster,
  fetchStatus,
  startCluster,
  UpstreamHeader,
  waitUntil,
} from '@cactusdeal/testing';
import {
  buildLoadClasses,
  FLOOD_WORKER_COUNT,
  type FloodScenario,
  SLOTS_PER_WORKER,
  TRAFFIC_CLASSES,
} from './CactusdealBenchFloodScenario.js';
import { runLoad } from './CactusdealBenchLoad.js';
import { createHttpSender } from './CactusdealBenchLoadHttp.js';
import type { LoadClass, LoadResult } from './CactusdealBenchLoadTypes.js';

/** The one service of the cluster benches; its workers serve every class. */
export const BENCH_SERVICE = 'taller';
export const BENCH_DATA_CENTRE = 'oeste';

const QUEUE_LIMIT = 64;
/**
 * Rate limit of a daemon's calls to the platform; each paint order costs two (claim and outcome).
 */
const PLATFORM_CALLS_PER_SECOND = 200;
const CONNECTIONS_PER_DAEMON = 512;
const CONVERGENCE_TIMEOUT_MS = 20_000;

/**
 * Starts one data centre of four workers with a daemon each and applies the routes of the flood
 * bench.
 */
export async function startBenchCluster(): Promise<Cluster> {
  const workers = Array.from({ length: FLOOD_WORKER_COUNT }, (_, index) => ({
    name: `${BENCH_SERVICE}-${index + 1}`,
    services: [BENCH_SERVICE],
    slots: SLOTS_PER_WORKER,
    serviceMs: 20,
  }));
  const cluster = await startCluster({
    name: 'bench',
    dataCentres: [{ name: BENCH_DATA_CENTRE, workers }],
    settings: { platform: { callsPerSecond: PLATFORM_CALLS_PER_SECOND } },
  });
  const [host] = cluster.hosts;
  if (host === undefined) return cluster;
  const intent = { type: 'applyOperations', operations: listOperations() } as const;
  const version = await acceptIntent(host, intent);
  await waitUntil(() => isInForce(cluster, version), {
    what: `version ${version} in force`,
    timeoutMs: CONVERGENCE_TIMEOUT_MS,
  });
  return cluster;
}

async function isInForce(cluster: Cluster, version: number): Promise<boolean> {
  const statuses = await Promise.all(cluster.hosts.map((host) => fetchStatus(host)));
  return statuses.every((status) => status.version >= version);
}

function listOperations(): Operation[] {
  const service = { tenant: 'oviedo', weights: {}, queueLimit: QUEUE_LIMIT };
  const routes = TRAFFIC_CLASSES.map((trafficClass): Operation => {
    const { name, rank, share, worth, deadlineMs } = trafficClass;
    const effect = rank === 'critical' ? 'atMostOnce' : 'idempotent';
    const match = {
      service: BENCH_SERVICE,
      method: '*',
      pathPrefix: `/${name}`,
      class: name,
    } as const;
    const limits = { rank, share, worth, deadlineMs, effect, maxBodyBytes: 1_000_000 } as const;
    return { type: 'setRoute', name, route: { ...match, ...limits } };
  });
  return [{ type: 'setService', name: BENCH_SERVICE, service }, ...routes];
}

/**
 * Builds the load of a scenario for the cluster, whose upstreams run each call for the time in its
 * header. A `durationFactor` above 1 makes calls longer and proportionally rarer: the offered load
 * is the same, with less overhead per unit of work.
 */
export function buildClusterLoad(scenario: FloodScenario, durationFactor = 1): LoadClass[] {
  return buildLoadClasses(scenario, FLOOD_WORKER_COUNT * SLOTS_PER_WORKER).map((loadClass) => {
    const trafficClass = TRAFFIC_CLASSES.find(({ name }) => name === loadClass.name);
    const headers = {
      [UpstreamHeader.ServiceMs]: String((trafficClass?.serviceMs ?? 0) * durationFactor),
    };
    return { ...loadClass, callsPerSecond: loadClass.callsPerSecond / durationFactor, headers };
  });
}

/** Runs a load against the daemons of all hosts, in round-robin order. */
export async function runClusterLoad(
  cluster: Cluster,
  classes: readonly LoadClass[],
  durationMs: number,
  seed: number,
): Promise<LoadResult> {
  const sender = createHttpSender({
    targets: cluster.hosts.map(({ callsAddress }) => callsAddress),
    connections: CONNECTIONS_PER_DAEMON,
    clock: getWallTimeMs,
    random: createSeededRandom(seed + 1),
  });
  const result = await runLoad({
    classes,
    durationMs,
    seed,
    send: (arrival) => sender.send(arrival),
  });
  await sender.close();
  return result;
}
