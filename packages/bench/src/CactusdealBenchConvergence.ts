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
import { measureSnapshotHub } from './CactusdealBenchSnapshotHub.js';
import { computeDistribution, type Distribution } from './CactusdealBenchStatistics.js';

/** One size of the experiment. */
export interface ConvergenceSpec {
  readonly dataCentres: number;
  readonly daemonsPerDataCentre: number;
  readonly services: number;
  readonly changes: number;
  /** Time that the idle and the busy phase each last, in milliseconds. */
  readonly phaseMs: number;
}

/** What one size showed; per daemon unless it says otherwise. */
export interface ConvergenceResult {
  readonly daemons: number;
  /** From the operator's confirmation to the swap, each daemon and change one sample. */
  readonly inForceMs: Distribution;
  readonly idle: ControlLoad;
  /** With changes at the rate of the busy phase. */
  readonly busy: ControlLoad & { readonly changesPerMinute: number };
  readonly bytesBetweenDataCentresPerChange: number;
  /** The same for the baseline that sends whole snapshots. */
  readonly baselineBytesPerChange: number;
}

/** Cost of control over a phase. */
export interface ControlLoad {
  readonly bytesPerSecond: Distribution;
  readonly cpuPercent: Distribution;
  readonly residentMegabytes: Distribution;
  readonly proportionalMegabytes: Distribution;
  /** Of the whole deployment. */
  readonly platformCallsPerMinute: number;
  readonly bytesBetweenDataCentresPerSecond: number;
}

interface Sample {
  readonly atMs: number;
  readonly controlBytes: readonly number[];
  readonly cpuMs: readonly number[];
  readonly platformCalls: number;
  readonly remoteBytes: number;
}

const ONE_WAY_DELAY_MS = 3;
const SETTLE_MS = 5_000;
const IN_FORCE_TIMEOUT_MS = 30_000;
const MEGABYTE = 1024 * 1024;

/** Runs one size from start to stop. */
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
  await acceptEverywhere(cluster, { type: 'applyOperations', operations: buildServices(spec) });
  await waitMs(SETTLE_MS);
  const beforeIdle = await takeSample(cluster);
  await waitMs(spec.phaseMs);
  const afterIdle = await takeSample(cluster);
  const samples = await runChanges(cluster, spec);
  const afterBusy = await takeSample(cluster);
  const idle = buildLoad(cluster, beforeIdle, afterIdle);
  const busy = buildLoad(cluster, afterIdle, afterBusy);
  const busySeconds = (afterBusy.atMs - afterIdle.atMs) / 1000;
  const addedBytes = busy.bytesBetweenDataCentresPerSecond - idle.bytesBetweenDataCentresPerSecond;
  const receivers = (spec.dataCentres - 1) * spec.daemonsPerDataCentre;
  return {
    daemons: cluster.hosts.length,
    inForceMs: computeDistribution(samples),
    idle,
    busy: { ...busy, changesPerMinute: (spec.changes * 60) / busySeconds },
    bytesBetweenDataCentresPerChange: (addedBytes * busySeconds) / spec.changes,
    baselineBytesPerChange: await measureSnapshotHub(await fetchAnySnapshot(cluster), receivers),
  };
}

async function runChanges(cluster: Cluster, spec: ConvergenceSpec): Promise<readonly number[]> {
  const samples: number[] = [];
  const pauseMs = spec.phaseMs / spec.changes;
  for (let change = 0; change < spec.changes; change += 1) {
    const weights = { 'centre-1': change + 1 };
    const host = cluster.hosts[change % cluster.hosts.length];
    const startedAtMs = getWallTimeMs();
    const intent: Intent = { type: 'setWeights', service: 'service-0', weights };
    samples.push(...(await acceptEverywhere(cluster, intent, host)));
    await waitMs(Math.max(0, pauseMs - (getWallTimeMs() - startedAtMs)));
  }
  return samples;
}

/** Accepts an intent and waits for every daemon; answers each one's time in milliseconds. */
async function acceptEverywhere(
  cluster: Cluster,
  intent: Intent,
  host = cluster.hosts[0],
): Promise<readonly number[]> {
  if (host === undefined) return [];
  const version = await acceptIntent(host, intent);
  await waitUntil(() => cluster.hosts.every((each) => findSwap(each, version) !== undefined), {
    timeoutMs: IN_FORCE_TIMEOUT_MS,
    what: `version ${version} in force everywhere`,
  });
  const history = await sendAdmin(host, 'GET', '/v1/history?limit=1');
  const [entry] = history.body as unknown as readonly { readonly acceptedAtMs: number }[];
  const acceptedAtMs = entry?.acceptedAtMs ?? Number.NaN;
  return cluster.hosts.map((each) => (findSwap(each, version) ?? Number.NaN) - acceptedAtMs);
}

/** Finds when the daemon logged that the version came into force, in milliseconds since the epoch. */
function findSwap(host: Cluster['hosts'][number], version: number): number | undefined {
  const line = host
    .getDaemon()
    .getLines()
    .findLast(
      (text) => text.includes('event=version-in-force') && text.endsWith(`version=${version}`),
    );
  return line === undefined ? undefined : Date.parse(parseFields(line).time ?? '');
}

function buildServices({ services }: ConvergenceSpec): Operation[] {
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

async function takeSample(cluster: Cluster): Promise<Sample> {
  const counters = await Promise.all(cluster.hosts.map((host) => readCounters(host.adminAddress)));
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

async function readCounters(adminAddress: string): Promise<{ readonly bytes: number }> {
  const answer = await fetch(`http://${adminAddress}/metrics`);
  const text = await answer.text();
  const pattern = /^cactusdeal_mesh_counters\{name="\w+\.(?:sent|received)Bytes"\} (\S+)$/gm;
  const bytes = [...text.matchAll(pattern)].reduce((total, [, value]) => total + Number(value), 0);
  return { bytes };
}

function buildLoad(cluster: Cluster, before: Sample, after: Sample): ControlLoad {
  const seconds = (after.atMs - before.atMs) / 1000;
  const rates = (pick: (sample: Sample) => readonly number[]): number[] =>
    pick(after).map((value, index) => (value - (pick(before)[index] ?? 0)) / seconds);
  const usage = cluster.hosts.map((host) => readUsage(host.getDaemon().pid));
  return {
    bytesPerSecond: computeDistribution(rates(({ controlBytes }) => controlBytes)),
    cpuPercent: computeDistribution(rates(({ cpuMs }) => cpuMs).map((rate) => rate / 10)),
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

function fetchAnySnapshot({ hosts: [host] }: Cluster): Promise<Snapshot> {
  if (host === undefined) throw new RangeError('a cluster has hosts');
  return fetchSnapshot(host);
}
