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
  FLOOD_CLASSES,
  FLOOD_SLOTS,
  FLOOD_WORKERS,
  type FloodScenario,
} from './CactusdealBenchFloodScenario.js';
import { runLoad } from './CactusdealBenchLoad.js';
import { createHttpSender } from './CactusdealBenchLoadHttp.js';
import type { LoadClass, LoadResult } from './CactusdealBenchLoadTypes.js';

/** Service of the benches; its workers take all kinds of work. */
export const SERVICE = 'taller';
export const DATA_CENTRE = 'oeste';

const QUEUE_LIMIT = 64;
/** Calls that one daemon may make to the platform: two for each paint order. */
const CALLS_PER_SECOND = 200;
const CONNECTIONS = 512;
const CONVERGENCE_TIMEOUT_MS = 20_000;

/** Starts four workers with a daemon each in one data centre, with the routes of the flood. */
export async function startBenchCluster(): Promise<Cluster> {
  const workers = Array.from({ length: FLOOD_WORKERS }, (_, index) => ({
    name: `${SERVICE}-${index + 1}`,
    services: [SERVICE],
    slots: FLOOD_SLOTS,
    serviceMs: 20,
  }));
  const cluster = await startCluster({
    name: 'bench',
    dataCentres: [{ name: DATA_CENTRE, workers }],
    settings: { platform: { callsPerSecond: CALLS_PER_SECOND } },
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
  const routes = FLOOD_CLASSES.map((floodClass): Operation => {
    const { name, rank, share, worth, deadlineMs } = floodClass;
    const effect = rank === 'critical' ? 'atMostOnce' : 'idempotent';
    const placed = { service: SERVICE, method: '*', pathPrefix: `/${name}`, class: name } as const;
    const treated = { rank, share, worth, deadlineMs, effect, maxBodyBytes: 1_000_000 } as const;
    return { type: 'setRoute', name, route: { ...placed, ...treated } };
  });
  return [{ type: 'setService', name: SERVICE, service }, ...routes];
}

/**
 * The load of a day against the cluster, whose upstreams take the time that each call names. With a
 * `scale` above 1 calls are that much longer and fewer, for the same work with less overhead.
 */
export function buildClusterLoad(scenario: FloodScenario, scale = 1): LoadClass[] {
  return buildLoadClasses(scenario, FLOOD_WORKERS * FLOOD_SLOTS).map((loadClass) => {
    const floodClass = FLOOD_CLASSES.find(({ name }) => name === loadClass.name);
    const headers = { [UpstreamHeader.ServiceMs]: String((floodClass?.serviceMs ?? 0) * scale) };
    return { ...loadClass, callsPerSecond: loadClass.callsPerSecond / scale, headers };
  });
}

/** Runs a load against the daemons of the hosts, in turn. */
export async function runClusterLoad(
  cluster: Cluster,
  classes: readonly LoadClass[],
  durationMs: number,
  seed: number,
): Promise<LoadResult> {
  const sender = createHttpSender({
    targets: cluster.hosts.map(({ callsAddress }) => callsAddress),
    connections: CONNECTIONS,
    clock: getWallTimeMs,
    random: createSeededRandom(seed + 1),
  });
  const result = await runLoad({ classes, durationMs, seed, send: (one) => sender.send(one) });
  await sender.close();
  return result;
}
