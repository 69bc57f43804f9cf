import type { Operation, Route } from '@cactusdeal/schema';
import { invariant, waitMs } from '@cactusdeal/shared';
import {
  acceptIntent,
  type Cluster,
  fetchStatus,
  type Host,
  isClusterReady,
  type Ledger,
  sendCall,
  startCluster,
  waitUntil,
  type WorkerSpec,
} from '../../index.js';

const SERVICE = 'orders';
const WORKERS_PER_DATA_CENTRE = 3;
const SLOTS = 4;
const SERVICE_MS = 20;
const SETTLE_TIMEOUT_MS = 25_000;
const ACCEPT_TIMEOUT_MS = 4000;

export const DATA_CENTRES = ['oeste', 'este'] as const;

/** Paths of the routes to which the cells send calls. */
export const MatrixPath = {
  /** Idempotent, high rank. */
  Records: '/records',
  /** At most once, critical rank. */
  Approvals: '/approvals',
  /** Idempotent, low rank. */
  Photographs: '/photographs',
  /** Idempotent, critical rank. */
  Urgent: '/urgent',
} as const;

/** Starts two data centres of three hosts each. Resolves when every daemon serves the routes. */
export async function startMatrixCluster(): Promise<Cluster> {
  const cluster = await startCluster({
    name: 'matrix',
    delayMs: 3,
    settings: {
      platform: { timeoutMs: 500 },
      mesh: { heartbeatMs: 200, digestMs: 300 },
      readers: { perDataCentre: 1, leaseMs: 1000 },
      calls: { idleTimeoutMs: 2000 },
      workers: { leaseMs: 3000 },
    },
    dataCentres: DATA_CENTRES.map((name) => ({ name, workers: listWorkers(name) })),
  });
  const operations: Operation[] = [
    { type: 'setService', name: SERVICE, service: { tenant: 'city', weights: {}, queueLimit: 40 } },
    buildRoute('records', MatrixPath.Records, 'GET', 'high', 'idempotent'),
    buildRoute('approvals', MatrixPath.Approvals, 'POST', 'critical', 'atMostOnce'),
    buildRoute('photographs', MatrixPath.Photographs, 'PUT', 'low', 'idempotent'),
    buildRoute('urgent', MatrixPath.Urgent, 'PUT', 'critical', 'idempotent'),
  ];
  const first = cluster.hosts[0] as Host;
  await acceptIntent(first, { type: 'applyOperations', operations });
  await waitServing(cluster);
  return cluster;
}

/**
 * Removes all faults and starts all processes that do not run. Accepts a new version and waits until
 * every daemon holds it and serves calls. Returns the version.
 */
export async function settleCluster(cluster: Cluster): Promise<number> {
  await cluster.heal();
  await Promise.all(cluster.hosts.map(startStoppedProcesses));
  await waitUntil(() => isClusterReady(cluster.hosts), {
    what: 'all daemons to be ready',
    timeoutMs: SETTLE_TIMEOUT_MS,
  });
  const version = await acceptWeights(cluster.hosts.at(-1) as Host, DATA_CENTRES[1]);
  await waitVersion(cluster.hosts, version);
  await waitServing(cluster);
  return version;
}

/**
 * Changes the weight of one data centre through a daemon, to a value above 0 so that it still gets
 * calls. Retries when a concurrent change is accepted first. Returns the new version.
 */
export async function acceptWeights(host: Host, dataCentre: string): Promise<number> {
  const weights = { [dataCentre]: 1 + Math.random() };
  return waitUntil(() => acceptIntent(host, { type: 'setWeights', service: SERVICE, weights }), {
    what: `a change of weights through ${host.id}`,
    timeoutMs: ACCEPT_TIMEOUT_MS,
  });
}

/** Waits until the daemon of every host holds the version or a later one. */
export async function waitVersion(
  hosts: readonly Host[],
  version: number,
  timeoutMs = SETTLE_TIMEOUT_MS,
): Promise<void> {
  let lastVersions: string[] = [];
  await waitUntil(
    async () => {
      const statuses = await Promise.all(hosts.map((host) => fetchStatus(host)));
      lastVersions = statuses.map((status, index) => `${hosts[index]?.id}=${status.version}`);
      return statuses.every((status) => status.version >= version);
    },
    {
      what: `version ${version} on all hosts`,
      timeoutMs,
      explain: () => lastVersions.join(' '),
    },
  );
}

/** Waits for a daemon that reads the platform for its data centre and returns its host. */
export async function findReader(cluster: Cluster, dataCentre: string): Promise<Host> {
  return waitUntil(
    async () => {
      const hosts = cluster.listHosts(dataCentre).filter((host) => host.getDaemon().isRunning());
      const statuses = await Promise.all(hosts.map((host) => fetchStatus(host)));
      return hosts.find((_, index) => statuses[index]?.isReader);
    },
    { what: `a reader of ${dataCentre}` },
  );
}

/** Waits until a call through each daemon succeeds. */
async function waitServing(cluster: Cluster): Promise<void> {
  await Promise.all(
    cluster.hosts.map((host) =>
      waitUntil(
        async () => {
          const result = await sendCall(host.callsAddress, {
            requestId: `served-${host.id}-${Math.random()}`,
            method: 'GET',
            path: MatrixPath.Records,
            signal: AbortSignal.timeout(5000),
          });
          return result.status === 200;
        },
        { what: `a successful call through ${host.id}`, timeoutMs: SETTLE_TIMEOUT_MS },
      ),
    ),
  );
}

/** Resumes paused processes, starts exited ones and ends the faults of the upstream. */
async function startStoppedProcesses(host: Host): Promise<void> {
  host.getDaemon().resume();
  host.getUpstream().resume();
  if (!host.getDaemon().isRunning()) await host.startDaemon();
  if (host.getUpstream().isRunning()) await host.commandUpstream(FAULTLESS_BEHAVIOUR);
  else await host.startUpstream();
}

/** Behaviour of the upstream stand-in without faults. */
const FAULTLESS_BEHAVIOUR = {
  slowFactor: 1,
  isRefusing: false,
  isHolding: false,
  isCuttingShort: false,
  isSilent: false,
  isMute: false,
  state: 'ready',
  crashPath: null,
  crashBody: null,
} as const;

/** Sends reads and approvals until the returned function is called, which waits for the last ones. */
export function startBackgroundCalls(
  cluster: Cluster,
  ledger: Ledger,
  options: { readonly createId: () => string; readonly createKey: () => string },
): () => Promise<void> {
  const stop = new AbortController();
  const { hosts } = cluster;
  const tasks = [runReads(), runApprovals()];
  return async () => {
    stop.abort();
    await Promise.all(tasks);
  };

  async function runReads(): Promise<void> {
    for (let round = 0; !stop.signal.aborted; round += 1) {
      const host = pickHostOfRound(hosts, round);
      await ledger.send(host, {
        requestId: options.createId(),
        ...{ method: 'GET', path: MatrixPath.Records, answerBytes: 20_000 },
        signal: AbortSignal.timeout(3000),
      });
      await waitMs(20, stop.signal);
    }
  }

  async function runApprovals(): Promise<void> {
    for (let round = 0; !stop.signal.aborted; round += 1) {
      await sendApprovalWithRetry(ledger, hosts, round, options);
      await waitMs(50, stop.signal);
    }
  }
}

/** Sends an approval; if it does not complete, resends it once, with its key, through another daemon. */
async function sendApprovalWithRetry(
  ledger: Ledger,
  hosts: readonly Host[],
  round: number,
  options: { readonly createId: () => string; readonly createKey: () => string },
): Promise<void> {
  const idempotencyKey = options.createKey();
  for (let attempt = 0; attempt < 2; attempt += 1) {
    const { outcome } = await ledger.send(pickHostOfRound(hosts, round + 2 * attempt), {
      requestId: options.createId(),
      ...{ method: 'POST', path: MatrixPath.Approvals, idempotencyKey },
      body: Buffer.from(idempotencyKey),
      signal: AbortSignal.timeout(3000),
    });
    if (outcome === 'completed') return;
  }
}

function pickHostOfRound(hosts: readonly Host[], round: number): Host {
  const host = hosts[round % hosts.length];
  invariant(host !== undefined, 'the cluster has no hosts');
  return host;
}

function listWorkers(dataCentre: string): WorkerSpec[] {
  return Array.from({ length: WORKERS_PER_DATA_CENTRE }, (_, index) => ({
    name: `${SERVICE}-${dataCentre}-${index + 1}`,
    services: [SERVICE],
    slots: SLOTS,
    serviceMs: SERVICE_MS,
  }));
}

function buildRoute(
  name: string,
  pathPrefix: string,
  method: Route['method'],
  rank: Route['rank'],
  effect: Route['effect'],
): Operation {
  const limits = { deadlineMs: 3000, share: 0.25, worth: 10, maxBodyBytes: 16 * 1024 * 1024 };
  const route: Route = {
    service: SERVICE,
    method,
    pathPrefix,
    rank,
    class: name,
    effect,
    ...limits,
  };
  return { type: 'setRoute', name, route };
}
