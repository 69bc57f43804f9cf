import { createConfigurationHolder } from '@cactusdeal/configuration';
import { createMesh, type Mesh, selectReaders } from '@cactusdeal/mesh';
import {
  createReaderLease,
  createRoster,
  readReaders,
  readRoster,
  ROSTER_SLOTS,
  runLogReader,
  type SlotLease,
} from '@cactusdeal/operator';
import { createHttpPlatform, type Platform } from '@cactusdeal/platform';
import type { CompleteSettings, Worker } from '@cactusdeal/schema';
import { createLog, getMonotonicMs, getWallTimeMs, type Log } from '@cactusdeal/shared';
import {
  type CallListener,
  createClaims,
  createGateQueue,
  createQuarantine,
  createTrafficMetrics,
  startCallListener,
} from '@cactusdeal/traffic';
import { collectDefaultMetrics, Registry } from 'prom-client';
import { listAdminRoutes } from './CactusdealDaemonAdmin.js';
import { createDirectory } from './CactusdealDaemonDirectory.js';
import { startHttpListener } from './CactusdealDaemonHttp.js';
import { observeMesh } from './CactusdealDaemonMetrics.js';
import { createOperations } from './CactusdealDaemonOperations.js';
import { type ReaderRole, startReaderRole } from './CactusdealDaemonReader.js';
import { waitForConfiguration } from './CactusdealDaemonStart.js';
import { createMeshState } from './CactusdealDaemonState.js';
import { collectDataCentres, type DaemonStatus, listDrains } from './CactusdealDaemonStatus.js';
import { runSurveys, surveyDataCentre } from './CactusdealDaemonSurvey.js';
import { createLocalWorkers, type LocalWorkers } from './CactusdealDaemonWorkers.js';

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

interface Parts {
  readonly settings: CompleteSettings;
  readonly log: Log;
  readonly registry: Registry;
  readonly platform: Platform;
  readonly holder: ReturnType<typeof createConfigurationHolder>;
  readonly mesh: Mesh;
  readonly workers: LocalWorkers;
  readonly directory: ReturnType<typeof createDirectory>;
  readonly queue: ReturnType<typeof createGateQueue>;
  readonly claims: ReturnType<typeof createClaims>;
  readonly quarantine: ReturnType<typeof createQuarantine>;
}

interface Running {
  listener: CallListener | undefined;
  reader: ReaderRole | undefined;
  roster: SlotLease | undefined;
}

const ROSTER_LEASE_MS = 30_000;
const ROSTER_CONTACTS = 2;
const QUARANTINE_TOPIC = 'quarantine';

interface CrashNotice {
  readonly source: string;
  readonly fingerprint: string;
  readonly crashes: number;
}

/**
 * Wires the parts into one daemon. Resolves when the mesh and the admin listener are bound; calls
 * are answered later, once the daemon holds a configuration. Rejects when an address is taken.
 */
export async function startDaemon(
  settings: CompleteSettings,
  signal: AbortSignal,
): Promise<Daemon> {
  const parts = await buildParts(settings);
  const running: Running = { listener: undefined, reader: undefined, roster: undefined };
  const stop = new AbortController();
  const stopSignal = AbortSignal.any([signal, stop.signal]);
  const admin = await startHttpListener(
    settings.listen.admin,
    listAdminRoutes(buildAdminParts(parts, running)),
    parts.log,
  );
  running.reader = startReader(parts);
  running.roster = createRoster({
    ...buildSlotOptions(parts),
    leaseMs: ROSTER_LEASE_MS,
    isCandidate: () => isRosterCandidate(parts),
  });
  const ready = serveCalls(parts, stopSignal).then((listener) => {
    running.listener = listener;
    return listener !== undefined;
  });
  return {
    meshAddress: parts.mesh.getSelf().meshAddress,
    callsAddress: settings.listen.calls,
    adminAddress: admin.address,
    ready,
    close: async () => {
      stop.abort();
      await ready;
      await closeParts(parts, running);
      await admin.close();
    },
  };
}

async function buildParts(settings: CompleteSettings): Promise<Parts> {
  const log = createLog({ daemon: settings.id, dataCentre: settings.dataCentre });
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  const platform = createHttpPlatform({ ...settings.platform, log });
  const holder = createConfigurationHolder({ log });
  const mesh = await startMesh(settings, holder, platform, log);
  const directory = createDirectory({
    getMembers: () => mesh.getMembers(),
    getSummaries: () => mesh.getSummaries(),
    getSnapshot: () => holder.getSnapshot(),
  });
  const workers = createLocalWorkers({
    leaseMs: settings.workers.leaseMs,
    clock: getWallTimeMs,
    log,
    publish: publishWorker,
  });
  const queue = createGateQueue({
    slots: 0,
    getQueueLimit: () => findQueueLimit(holder.getSnapshot(), workers.getWorker()?.services),
    clock: getMonotonicMs,
  });
  const claims = createClaims({
    platform,
    holderId: settings.id,
    clock: getWallTimeMs,
    log,
    random: Math.random,
  });
  const quarantine = createQuarantine({ clock: getWallTimeMs, publish: publishCrashes });
  holder.observe(() => directory.refresh());
  mesh.observeMembers(() => directory.refresh());
  mesh.observeSummaries(() => directory.refresh());
  mesh.observeNotices(handleNotice);
  observeMesh(registry, mesh, holder);
  return {
    settings,
    log,
    registry,
    platform,
    holder,
    mesh,
    workers,
    directory,
    queue,
    claims,
    quarantine,
  };

  function publishWorker(worker: Worker | undefined): void {
    queue.setSlots(worker?.slots ?? 0);
    mesh.setWorker(worker);
    directory.refresh();
  }

  function publishCrashes(fingerprint: string, crashes: number): void {
    const notice: CrashNotice = { source: settings.id, fingerprint, crashes };
    mesh.publishNotice(QUARANTINE_TOPIC, `${settings.id}/${fingerprint}/${crashes}`, notice);
  }

  function handleNotice(topic: string, value: unknown): void {
    if (topic !== QUARANTINE_TOPIC) return;
    const { source, fingerprint, crashes } = value as CrashNotice;
    if (source !== settings.id) quarantine.mergeNotice(source, fingerprint, crashes);
  }
}

function startMesh(
  settings: CompleteSettings,
  holder: Parts['holder'],
  platform: Platform,
  log: Log,
): Promise<Mesh> {
  return createMesh({
    cluster: settings.cluster,
    dataCentre: settings.dataCentre,
    id: settings.id,
    meshAddress: settings.listen.mesh,
    callsAddress: settings.listen.calls,
    adminAddress: settings.listen.admin,
    ...settings.mesh,
    readersPerDataCentre: settings.readers.perDataCentre,
    state: createMeshState({ holder, getMemberId: () => settings.id }),
    log,
    findContacts: async () => {
      const { dataCentre } = settings;
      const contacts = await readRoster(platform, { dataCentre, wanted: ROSTER_CONTACTS });
      return contacts.map(({ meshAddress }) => meshAddress);
    },
    findRemoteReaders: async (dataCentre) => {
      const readers = await readReaders(platform, dataCentre);
      return readers.map(({ meshAddress }) => meshAddress);
    },
  });
}

function findQueueLimit(
  snapshot: ReturnType<Parts['holder']['getSnapshot']>,
  services: readonly string[] = [],
): number {
  return services.reduce(
    (most, service) => Math.max(most, snapshot.services[service]?.queueLimit ?? 0),
    0,
  );
}

function buildSlotOptions({ platform, mesh, settings, log }: Parts) {
  return {
    platform,
    dataCentre: settings.dataCentre,
    memberId: settings.id,
    meshAddress: mesh.getSelf().meshAddress,
    clock: getMonotonicMs,
    signal: new AbortController().signal,
    log,
  };
}

function isRosterCandidate({ mesh, settings }: Parts): boolean {
  const chosen = selectReaders(mesh.getMembers(), ROSTER_SLOTS);
  return chosen.some(({ id }) => id === settings.id);
}

function startReader(parts: Parts): ReaderRole {
  const { platform, holder, mesh, log, settings } = parts;
  return startReaderRole({
    lease: createReaderLease({
      ...buildSlotOptions(parts),
      slots: settings.readers.perDataCentre,
      leaseMs: settings.readers.leaseMs,
      isCandidate: () => mesh.isReaderCandidate(),
    }),
    log,
    tasks: [
      (signal) =>
        runLogReader({
          platform,
          target: {
            getHeadVersion: () => holder.getHeadVersion(),
            getSnapshot: () => holder.getSnapshot(),
            acceptEntry: (entry) => {
              holder.applyEntry(entry);
              mesh.publishEntry(entry);
            },
            acceptSnapshot: (snapshot, hash) => {
              holder.replaceSnapshot(snapshot, hash);
            },
          },
          signal,
          log,
        }),
      (signal) => runSurveys({ mesh, holder, platform, clock: getWallTimeMs, log, signal }),
    ],
  });
}

async function serveCalls(parts: Parts, signal: AbortSignal): Promise<CallListener | undefined> {
  const { settings, log, holder, mesh, platform } = parts;
  const held = await waitForConfiguration({
    platform,
    mesh,
    holder,
    signal,
    random: Math.random,
    log,
  });
  if (!held) return undefined;
  const listener = await startCallListener({
    address: settings.listen.calls,
    dataCentre: settings.dataCentre,
    memberId: settings.id,
    getSnapshot: () => holder.getSnapshot(),
    directory: parts.directory,
    getLocalWorker: () => parts.workers.getWorker(),
    queue: parts.queue,
    claims: parts.claims,
    quarantine: parts.quarantine,
    settings: settings.calls,
    metrics: createTrafficMetrics(parts.registry),
    log,
    clock: getMonotonicMs,
    random: Math.random,
  });
  log.info('ready', { version: holder.getSnapshot().version });
  return listener;
}

function buildAdminParts(parts: Parts, running: Running): Parameters<typeof listAdminRoutes>[0] {
  const { settings, holder, mesh, platform } = parts;
  const dataCentres = [
    ...new Set([settings.dataCentre, ...Object.keys(settings.mesh.remoteContacts)]),
  ];
  const isReady = (): boolean => running.listener !== undefined;
  const getStatus = (): DaemonStatus => ({
    memberId: settings.id,
    dataCentre: settings.dataCentre,
    ready: isReady(),
    version: holder.getSnapshot().version,
    headVersion: holder.getHeadVersion(),
    isReader: running.reader?.isReading() ?? false,
    rejections: holder.getRejections(),
    members: mesh.getMembers(),
    summaries: mesh.getSummaries(),
    drains: listDrains(holder, mesh),
    gate: parts.queue.getGauges(),
    quarantine: parts.quarantine.list(),
  });
  return {
    workers: parts.workers,
    isReady,
    getStatus,
    collectStatus: async () => ({
      version: holder.getSnapshot().version,
      dataCentres: await collectDataCentres({
        own: await surveyDataCentre({ mesh, holder, clock: getWallTimeMs }),
        others: dataCentres.filter((name) => name !== settings.dataCentre),
        platform,
      }),
      drains: listDrains(holder, mesh),
      quarantine: parts.quarantine.list(),
    }),
    getSnapshot: () => holder.getSnapshot(),
    renderMetrics: () => parts.registry.metrics(),
    ...createOperations({ platform, holder, mesh, dataCentres, clock: getWallTimeMs }),
  };
}

/** The order matters: announce first, let calls end, then give up what they need. */
async function closeParts(parts: Parts, running: Running): Promise<void> {
  const { worker } = parts.mesh.getSelf();
  if (worker !== undefined) parts.mesh.setWorker({ ...worker, state: 'draining' });
  await running.listener?.drain();
  await running.listener?.close();
  await Promise.all([running.reader?.close(), running.roster?.close()]);
  parts.workers.close();
  parts.queue.close();
  await parts.claims.close();
  parts.quarantine.close();
  await parts.mesh.close();
  parts.holder.close();
  await parts.platform.close();
  parts.log.info('stopped');
}
