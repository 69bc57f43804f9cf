import type { Intent, Operation, Snapshot } from '@cactusdeal/schema';
import { getWallTimeMs, waitMs } from '@cactusdeal/shared';
import {
  acceptIntent,
  type Cluster,
  fetchSnapshot,
  parseFields,
  sendAdmin,
  startCluster,
  waitUntil,
} from '@cactusdeal/testing';
import { readUsage } from './CactusdealBenchProcess.js';
import { measureSnapshotBroadcast } from './CactusdealBenchSnapshotBroadcast.js';
import { computeDistribution, type Distribution } from './CactusdealBenchStatistics.js';

/** Deployment size and workload of one convergence run. */
export interface ConvergenceSpec {
  readonly dataCentres: number;
  readonly daemonsPerDataCentre: number;
  readonly services: number;
  readonly changes: number;
  /** Duration of the idle phase, and of the busy phase, in milliseconds. */
  readonly phaseMs: number;
}

/** Results of one run; distributions are over daemons unless stated otherwise. */
export interface ConvergenceResult {
  readonly daemons: number;
  /**
   * Time from acceptance of a change until a daemon logs the new version in force; one sample per
   * daemon and change.
   */
  readonly inForceMs: Distribution;
  readonly idle: ControlLoad;
  /** Load while the operator changes weights at a steady rate. */
  readonly busy: ControlLoad & { readonly changesPerMinute: number };
  /** Bytes between data centres caused by one change, with the idle traffic subtracted. */
  readonly bytesBetweenDataCentresPerChange: number;
  /** The same for the baseline, which sends the full snapshot to every remote daemon. */
  readonly baselineBytesPerChange: number;
}

/** Cost of the control plane during one phase. */
export interface ControlLoad {
  readonly bytesPerSecond: Distribution;
  readonly cpuPercent: Distribution;
  readonly residentMegabytes: Distribution;
  readonly proportionalMegabytes: Distribution;
  /** Total of all daemons. */
  readonly platformCallsPerMinute: number;
  readonly bytesBetweenDataCentresPerSecond: number;
}

/** Cumulative counters of the deployment at one time. */
interface UsageSample {
  readonly atMs: number;
  /** Mesh bytes sent and received by each daemon. */
  readonly controlBytes: readonly number[];
  /** Processor time of each daemon, in milliseconds. */
  readonly cpuMs: readonly number[];
  readonly platformCalls: number;
  /** Mesh bytes on the links between data centres, in both directions. */
  readonly remoteBytes: number;
}

/** Simulated one-way delay between data centres, in milliseconds. */
const ONE_WAY_DELAY_MS = 3;
/** Time between the first configuration and the idle phase. */
const STABILISATION_MS = 5_000;
const IN_FORCE_TIMEOUT_MS = 30_000;
const MEGABYTE = 1024 * 1024;

/** Starts a cluster of this size, measures it and stops it. */
export async function runConvergence(spec: ConvergenceSpec): Promise<ConvergenceResult> {
  const cluster = await startCluster({
    name: 'convergence',
    delayMs: ONE_WAY_DELAY_MS,
    dataCentres: Array.from({ length: spec.dataCentres }, (_, index) => ({
      name: `centre-${index + 1}`,
      workers: Array.from({ length: spec.daemonsPerDataCentre }, () => undefined),
    })),
  });
  try {
    return await measureCluster(cluster, spec);
  } finally {
    await cluster.close();
  }
}

async function measureCluster(cluster: Cluster, spec: ConvergenceSpec): Promise<ConvergenceResult> {
  await applyEverywhere(cluster, { type: 'applyOperations', operations: buildOperations(spec) });
  await waitMs(STABILISATION_MS);
  const beforeIdle = await takeSample(cluster);
  await waitMs(spec.phaseMs);
  const afterIdle = await takeSample(cluster);
  const inForceSamples = await applyChanges(cluster, spec);
  const afterBusy = await takeSample(cluster);
  const idle = computeControlLoad(cluster, beforeIdle, afterIdle);
  const busy = computeControlLoad(cluster, afterIdle, afterBusy);
  const busySeconds = (afterBusy.atMs - afterIdle.atMs) / 1000;
  const extraBytesPerSecond =
    busy.bytesBetweenDataCentresPerSecond - idle.bytesBetweenDataCentresPerSecond;
  const receivers = (spec.dataCentres - 1) * spec.daemonsPerDataCentre;
  return {
    daemons: cluster.hosts.length,
    inForceMs: computeDistribution(inForceSamples),
    idle,
    busy: { ...busy, changesPerMinute: (spec.changes * 60) / busySeconds },
    bytesBetweenDataCentresPerChange: (extraBytesPerSecond * busySeconds) / spec.changes,
    baselineBytesPerChange: await measureSnapshotBroadcast(
      await fetchFirstSnapshot(cluster),
      receivers,
    ),
  };
}

async function applyChanges(cluster: Cluster, spec: ConvergenceSpec): Promise<readonly number[]> {
  const samples: number[] = [];
  const intervalMs = spec.phaseMs / spec.changes;
  for (let change = 0; change < spec.changes; change += 1) {
    const weights = { 'centre-1': change + 1 };
    const host = cluster.hosts[change % cluster.hosts.length];
    const startedAtMs = getWallTimeMs();
    const intent: Intent = { type: 'setWeights', service: 'service-0', weights };
    samples.push(...(await applyEverywhere(cluster, intent, host)));
    await waitMs(Math.max(0, intervalMs - (getWallTimeMs() - startedAtMs)));
  }
  return samples;
}

/**
 * Plans and confirms an intent at the host and waits until every daemon has the version in force.
 * Returns the time that each daemon took after the acceptance, in milliseconds.
 */
async function applyEverywhere(
  cluster: Cluster,
  intent: Intent,
  host = cluster.hosts[0],
): Promise<readonly number[]> {
  if (host === undefined) return [];
  const version = await acceptIntent(host, intent);
  await waitUntil(
    () => cluster.hosts.every((each) => findInForceAtMs(each, version) !== undefined),
    {
      timeoutMs: IN_FORCE_TIMEOUT_MS,
      what: `version ${version} in force at every daemon`,
    },
  );
  const history = await sendAdmin(host, 'GET', '/v1/history?limit=1');
  const [entry] = history.body as unknown as readonly { readonly acceptedAtMs: number }[];
  const acceptedAtMs = entry?.acceptedAtMs ?? Number.NaN;
  return cluster.hosts.map((each) => (findInForceAtMs(each, version) ?? Number.NaN) - acceptedAtMs);
}

/** Time at which the daemon logged the version in force, in milliseconds since the Unix epoch. */
function findInForceAtMs(host: Cluster['hosts'][number], version: number): number | undefined {
  const line = host
    .getDaemon()
    .getLines()
    .findLast(
      (text) => text.includes('event=version-in-force') && text.endsWith(`version=${version}`),
    );
  return line === undefined ? undefined : Date.parse(parseFields(line).time ?? '');
}

function buildOperations({ services }: ConvergenceSpec): Operation[] {
  return Array.from({ length: services }, (_, index) => [
    {
      type: 'setService' as const,
      name: `service-${index}`,
      service: { tenant: 'bench', weights: {}, queueLimit: 100 },
    },
    {
      type: 'setRoute' as const,
      name: `route-${index}`,
      route: {
        service: `service-${index}`,
        method: 'GET' as const,
        pathPrefix: `/service-${index}`,
        rank: 'normal' as const,
        class: 'lookup',
        deadlineMs: 1_000,
        effect: 'idempotent' as const,
        share: 0.5,
        worth: 1,
        maxBodyBytes: 65_536,
      },
    },
  ]).flat();
}

async function takeSample(cluster: Cluster): Promise<UsageSample> {
  const counters = await Promise.all(
    cluster.hosts.map((host) => fetchControlBytes(host.adminAddress)),
  );
  const counts = await cluster.platform.getCounts();
  const remoteLinks = cluster.links.filter(({ kind }) => kind === 'mesh');
  return {
    atMs: getWallTimeMs(),
    controlBytes: counters.map(({ bytes }) => bytes),
    cpuMs: cluster.hosts.map((host) => readUsage(host.getDaemon().pid).cpuMs),
    platformCalls: counts.total,
    remoteBytes: remoteLinks.reduce((total, { proxy }) => total + countBytes(proxy), 0),
  };
}

function countBytes(proxy: Cluster['links'][number]['proxy']): number {
  const { forward, backward } = proxy.getByteCounts();
  return forward + backward;
}

async function fetchControlBytes(adminAddress: string): Promise<{ readonly bytes: number }> {
  const answer = await fetch(`http://${adminAddress}/metrics`);
  const text = await answer.text();
  const pattern = /^cactusdeal_mesh_counters\{name="\w+\.(?:sent|received)Bytes"\} (\S+)$/gm;
  const bytes = [...text.matchAll(pattern)].reduce((total, [, value]) => total + Number(value), 0);
  return { bytes };
}

function computeControlLoad(
  cluster: Cluster,
  before: UsageSample,
  after: UsageSample,
): ControlLoad {
  const seconds = (after.atMs - before.atMs) / 1000;
  const computeRates = (pick: (sample: UsageSample) => readonly number[]): number[] =>
    pick(after).map((value, index) => (value - (pick(before)[index] ?? 0)) / seconds);
  const usage = cluster.hosts.map((host) => readUsage(host.getDaemon().pid));
  return {
    bytesPerSecond: computeDistribution(computeRates(({ controlBytes }) => controlBytes)),
    cpuPercent: computeDistribution(computeRates(({ cpuMs }) => cpuMs).map((rate) => rate / 10)),
    residentMegabytes: computeDistribution(
      usage.map(({ residentBytes }) => residentBytes / MEGABYTE),
    ),
    proportionalMegabytes: computeDistribution(
      usage.map(({ proportionalBytes }) => proportionalBytes / MEGABYTE),
    ),
    platformCallsPerMinute: ((after.platformCalls - before.platformCalls) * 60) / seconds,
    bytesBetweenDataCentresPerSecond: (after.remoteBytes - before.remoteBytes) / seconds,
  };
}

function fetchFirstSnapshot({ hosts: [host] }: Cluster): Promise<Snapshot> {
  if (host === undefined)
    throw new RangeError('the cluster has no hosts; at least one is required to fetch a snapshot');
  return fetchSnapshot(host);
}
