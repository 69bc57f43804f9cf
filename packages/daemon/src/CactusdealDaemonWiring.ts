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
import { registerMeshMetrics } from './CactusdealDaemonMetrics.js';
import type { Components } from './CactusdealDaemonComponents.js';
import { buildAdminBackend } from './CactusdealDaemonAdminBackend.js';
import { type Roles, startRoles } from './CactusdealDaemonRoles.js';
import { waitForConfiguration } from './CactusdealDaemonInitialConfiguration.js';
import { createLocalWorkers } from './CactusdealDaemonWorkers.js';

/** A running daemon. */
export interface Daemon {
  readonly meshAddress: string;
  readonly callsAddress: string;
  readonly adminAddress: string;
  /**
   * Resolves with true once calls are accepted, with false when the daemon was closed before. Rejects when
   * the address for calls cannot be bound.
   */
  readonly ready: Promise<boolean>;
  /**
   * Shuts down gracefully: announces the drain, lets in-flight calls end, then closes every
   * component.
   */
  close(): Promise<void>;
}

/** Interval between two samples of the event-loop delay; each one wakes the process. */
const EVENT_LOOP_SAMPLE_MS = 1_000;
/** Time for the announcement of the drain to reach the other daemons before new calls are refused. */
const DRAIN_ANNOUNCEMENT_MS = 1_000;

/**
 * Starts a daemon. Resolves when the mesh and the admin listener are bound; calls are accepted later, once
 * the daemon holds a configuration. Rejects when the address of the mesh or the admin listener cannot be
 * bound.
 */
export async function startDaemon(settings: CompleteSettings): Promise<Daemon> {
  const components = await buildComponents(settings);
  const stop = new AbortController();
  let listener: CallListener | undefined;
  const roles = startRoles(components);
  const runState = {
    isReady: () => listener !== undefined && !stop.signal.aborted,
    isReading: roles.isReading,
  };
  const admin = await startHttpListener(
    settings.listen.admin,
    listAdminRoutes(buildAdminBackend(components, runState)),
    components.log,
  );
  const ready = startServingCalls(components, stop.signal).then((callListener) => {
    listener = callListener;
    return callListener !== undefined;
  });
  return {
    meshAddress: components.mesh.getSelf().meshAddress,
    callsAddress: settings.listen.calls,
    adminAddress: admin.address,
    ready,
    close: async () => {
      stop.abort();
      // Rejects if the address for calls could not be bound; all else is closed then too.
      await ready.catch(() => false);
      await closeComponents(components, { listener, roles, admin });
    },
  };
}

async function buildComponents(settings: CompleteSettings): Promise<Components> {
  const log = createLog({ daemon: settings.id, dataCentre: settings.dataCentre });
  const registry = new Registry();
  collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS });
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
  holder.observe(directory.invalidate);
  mesh.observeMembers(directory.invalidate);
  mesh.observeSummaries(directory.invalidate);
  registerMeshMetrics(registry, mesh, holder);
  const sharedState = { platform, holder, mesh, workers, directory };
  return { settings, log, registry, ...sharedState, queue, claims, quarantine };

  function publishWorker(worker: Worker | undefined): void {
    queue.setSlots(worker?.slots ?? 0);
    mesh.setWorker(worker);
    directory.invalidate();
  }
}

/** Returns the highest queue limit of the services that the upstream serves. */
function findQueueLimit(snapshot: Snapshot, services: readonly string[] = []): number {
  const limits = services.map((service) => snapshot.services[service]?.queueLimit ?? 0);
  return Math.max(0, ...limits);
}

/** Starts the call listener once a configuration is held; undefined when the signal aborted before. */
async function startServingCalls(
  components: Components,
  signal: AbortSignal,
): Promise<CallListener | undefined> {
  const { settings, log, holder } = components;
  const { random } = Math;
  const hasConfiguration = await waitForConfiguration({ ...components, signal, random });
  if (!hasConfiguration) return undefined;
  const listener = await startCallListener({
    ...components,
    address: settings.listen.calls,
    dataCentre: settings.dataCentre,
    memberId: settings.id,
    getSnapshot: () => holder.getSnapshot(),
    getLocalWorker: () => components.workers.getWorker(),
    settings: settings.calls,
    metrics: createTrafficMetrics(components.registry),
    clock: getMonotonicMs,
    random,
  });
  log.info('ready', { version: holder.getSnapshot().version });
  return listener;
}

/** The order matters: announce the drain, let in-flight calls end, then close what they depend on. */
async function closeComponents(
  components: Components,
  running: {
    readonly listener: CallListener | undefined;
    readonly roles: Roles;
    readonly admin: HttpListener;
  },
): Promise<void> {
  const { worker } = components.mesh.getSelf();
  if (worker !== undefined) components.mesh.setWorker({ ...worker, state: 'draining' });
  // Daemons that have not heard of the drain still send calls; these are served, so that none needs
  // a retry.
  if (worker !== undefined) await waitMs(DRAIN_ANNOUNCEMENT_MS);
  await running.listener?.drain();
  await running.listener?.close();
  await running.roles.close();
  components.workers.close();
  components.queue.close();
  await components.claims.close();
  components.quarantine.close();
  await components.mesh.close();
  components.holder.close();
  await components.platform.close();
  await running.admin.close();
  components.log.info('stopped');
}
