import { createConfigurationHolder } from '@cactusdeal/configuration';
import { createHttpPlatform } from '@cactusdeal/platform';
import type { CompleteSettings, Snapshot, Worker } from '@cactusdeal/schema';
import { createLog, getMonotonicMs, getWallTimeMs, waitMs } from '@cactusdeal/shared';
import {
  type CallListener,
  createClaims,
  createGateQueue,
  createTrafficMetrics,
  startCallListener,
} from '@cactusdeal/traffic';
import { collectDefaultMetrics, Registry } from 'prom-client';
import { listAdminRoutes } from './CactusdealDaemonAdmin.js';
import { createDirectory } from './CactusdealDaemonDirectory.js';
import { type HttpListener, startHttpListener } from './CactusdealDaemonHttp.js';
import { createMeshQuarantine, startMesh } from './CactusdealDaemonMesh.js';
import { observeMesh } from './CactusdealDaemonMetrics.js';
import type { Parts } from './CactusdealDaemonParts.js';
import { buildAdminParts } from './CactusdealDaemonReport.js';
import { type Roles, startRoles } from './CactusdealDaemonRoles.js';
import { waitForConfiguration } from './CactusdealDaemonStart.js';
import { createLocalWorkers } from './CactusdealDaemonWorkers.js';

/** A running daemon. */
export interface Daemon {
  readonly meshAddress: string;
  readonly callsAddress: string;
  readonly adminAddress: string;
  /** Resolves once the daemon answers calls; false when it was stopped before. */
  readonly ready: Promise<boolean>;
  /** Stops gracefully: no new work, calls in flight end, then everything closes. */
  close(): Promise<void>;
}

/** Time between two samples of the event loop; each one wakes the process. */
const LOOP_SAMPLE_MS = 1_000;
/** Time that the announcement of a stop has to spread. */
const DRAIN_NOTICE_MS = 1_000;

/**
 * Wires the parts into one daemon. Resolves when the mesh and the admin listener are bound; calls
 * are answered later, once the daemon holds a configuration. Rejects when an address is taken.
 */
export async function startDaemon(settings: CompleteSettings): Promise<Daemon> {
  const parts = await buildParts(settings);
  const stop = new AbortController();
  let listener: CallListener | undefined;
  const roles = startRoles(parts);
  const progress = {
    isReady: () => listener !== undefined && !stop.signal.aborted,
    isReading: roles.isReading,
  };
  const admin = await startHttpListener(
    settings.listen.admin,
    listAdminRoutes(buildAdminParts(parts, progress)),
    parts.log,
  );
  const ready = startCalls(parts, stop.signal).then((started) => {
    listener = started;
    return started !== undefined;
  });
  return {
    meshAddress: parts.mesh.getSelf().meshAddress,
    callsAddress: settings.listen.calls,
    adminAddress: admin.address,
    ready,
    close: async () => {
      stop.abort();
      await ready;
      await closeParts(parts, { listener, roles, admin });
    },
  };
}

async function buildParts(settings: CompleteSettings): Promise<Parts> {
  const log = createLog({ daemon: settings.id, dataCentre: settings.dataCentre });
  const registry = new Registry();
  collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: LOOP_SAMPLE_MS });
  const platform = createHttpPlatform({ ...settings.platform, log });
  const holder = createConfigurationHolder({ log });
  const mesh = await startMesh({ settings, holder, platform, log });
  const directory = createDirectory({
    getMembers: () => mesh.getMembers(),
    getSummaries: () => mesh.getSummaries(),
    getSnapshot: () => holder.getSnapshot(),
  });
  const queue = createGateQueue({
    slots: 0,
    getQueueLimit: () => findQueueLimit(holder.getSnapshot(), workers.getWorker()?.services),
    clock: getMonotonicMs,
  });
  const workers = createLocalWorkers({
    leaseMs: settings.workers.leaseMs,
    clock: getMonotonicMs,
    wallClock: getWallTimeMs,
    log,
    publish: publishWorker,
  });
  const holderId = settings.id;
  const { random } = Math;
  const claims = createClaims({ platform, holderId, clock: getWallTimeMs, log, random });
  const quarantine = createMeshQuarantine(mesh, settings.id, getWallTimeMs);
  holder.observe(directory.refresh);
  mesh.observeMembers(directory.refresh);
  mesh.observeSummaries(directory.refresh);
  observeMesh(registry, mesh, holder);
  const stores = { platform, holder, mesh, workers, directory };
  return { settings, log, registry, ...stores, queue, claims, quarantine };

  function publishWorker(worker: Worker | undefined): void {
    queue.setSlots(worker?.slots ?? 0);
    mesh.setWorker(worker);
    directory.refresh();
  }
}

function findQueueLimit(snapshot: Snapshot, services: readonly string[] = []): number {
  const limits = services.map((service) => snapshot.services[service]?.queueLimit ?? 0);
  return Math.max(0, ...limits);
}

async function startCalls(parts: Parts, signal: AbortSignal): Promise<CallListener | undefined> {
  const { settings, log, holder } = parts;
  const { random } = Math;
  const isHeld = await waitForConfiguration({ ...parts, signal, random });
  if (!isHeld) return undefined;
  const listener = await startCallListener({
    ...parts,
    address: settings.listen.calls,
    dataCentre: settings.dataCentre,
    memberId: settings.id,
    getSnapshot: () => holder.getSnapshot(),
    getLocalWorker: () => parts.workers.getWorker(),
    settings: settings.calls,
    metrics: createTrafficMetrics(parts.registry),
    clock: getMonotonicMs,
    random,
  });
  log.info('ready', { version: holder.getSnapshot().version });
  return listener;
}

/** The order matters: announce first, let calls end, then give up what they need. */
async function closeParts(
  parts: Parts,
  running: {
    readonly listener: CallListener | undefined;
    readonly roles: Roles;
    readonly admin: HttpListener;
  },
): Promise<void> {
  const { worker } = parts.mesh.getSelf();
  if (worker !== undefined) parts.mesh.setWorker({ ...worker, state: 'draining' });
  // Calls that others still send meanwhile are served, so that they need no retry.
  if (worker !== undefined) await waitMs(DRAIN_NOTICE_MS);
  await running.listener?.drain();
  await running.listener?.close();
  await running.roles.close();
  parts.workers.close();
  parts.queue.close();
  await parts.claims.close();
  parts.quarantine.close();
  await parts.mesh.close();
  parts.holder.close();
  await parts.platform.close();
  await running.admin.close();
  parts.log.info('stopped');
}
