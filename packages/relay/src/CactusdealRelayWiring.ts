import type { Quarantine } from '@cactusdeal/quarantine';
import {
  type ChunkPacer,
  type Clock,
  createDeferredTasks,
  createLog,
  createPauseWatch,
  getMonotonicMs,
  getWallTimeMs,
  type Log,
  waitMs,
} from '@cactusdeal/shared';
import {
  type Configurations,
  createConfigurations,
  VersionOrigin,
} from './CactusdealRelayConfigurations.js';
import { createCrashExchange } from './CactusdealRelayCrashExchange.js';
import { createMemberDepartures } from './CactusdealRelayDepartures.js';
import { createDownlink, type Downlink } from './CactusdealRelayDownlink.js';
import { type Entry, startEntry } from './CactusdealRelayEntry.js';
import { createGate, type Gate } from './CactusdealRelayGate.js';
import { createKnownLimits } from './CactusdealRelayKnownLimits.js';
import {
  type LinkListener,
  startLinkListener,
  StatusAudience,
} from './CactusdealRelayLinkListener.js';
import { createMembers, type Members } from './CactusdealRelayMembers.js';
import { createMemoryBudgets } from './CactusdealRelayMemory.js';
import { createRelayMetrics, type RelayMetrics } from './CactusdealRelayMetrics.js';
import { SILENCE_CHECK_MS } from './CactusdealRelayPeer.js';
import type { ConfigurationSource, MemberRegistry, RolloutStore } from './CactusdealRelayPorts.js';
import { createQuotas, type Quotas } from './CactusdealRelayQuotas.js';
import { isFreshReader } from './CactusdealRelayReaderRole.js';
import { createRegistration, type Registration } from './CactusdealRelayRegistration.js';
import { createRetryBudget, type RetryBudgetOptions } from './CactusdealRelayRetryBudget.js';
import { createRollouts, type Rollouts } from './CactusdealRelayRollouts.js';
import { createRouter } from './CactusdealRelayRouter.js';
import { createStoreEra, EraOrigin, NO_ERA } from './CactusdealRelayStoreEra.js';
import type {
  CrashNoticeExchange,
  DepartureExchange,
  HeaderNames,
  Member,
  RelayConfiguration,
} from './CactusdealRelayTypes.js';
import { createUplink, type Uplink } from './CactusdealRelayUplink.js';
import { createUpstreamTracker, type UpstreamTracker } from './CactusdealRelayUpstreamTracker.js';

/** Settings and dependencies of a relay. */
export interface RelayOptions {
  readonly self: Member;
  /** `IP:PORT` of the entry, for the callers on this host. */
  readonly entryAddress: string;
  /** `IP:PORT` of the upstream on this host. */
  readonly upstreamAddress: string;
  /** Time between the upstream's heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Time between the signal to stop and the kill, in milliseconds. */
  readonly graceMs: number;
  /** Memory of the host, in bytes; each part of the daemon has only a limit of its own without it. */
  readonly hostBytes?: number;
  /**
   * Bandwidth of the host's link in each direction, in Mbit/s; large answers and large bodies of calls are not limited
   * by it without it.
   */
  readonly uplinkMbps?: number | undefined;
  /** Makes the runtime collect garbage, if it offers that. */
  readonly collectGarbage?: () => unknown;
  readonly names: HeaderNames;
  readonly source: ConfigurationSource;
  readonly registry: MemberRegistry;
  /** Statuses of rollouts; undefined if this deployment has no rollouts: all versions are used alike then. */
  readonly rolloutStore?: RolloutStore;
  /** Paces what other processes send, so that none of them keeps the event loop from the others. */
  readonly pacer: ChunkPacer;
  /** Counts the log lines that were dropped. */
  readonly countLostLines: () => number;
  /** Overrides of the default retry budget. */
  readonly retryBudget?: Partial<Omit<RetryBudgetOptions, 'clock'>>;
}

/** A running relay. */
export interface Relay {
  readonly upstreamTracker: UpstreamTracker;
  readonly metrics: RelayMetrics;
  getConfiguration(): RelayConfiguration | undefined;
  /** Whether callers should use this daemon's entry. */
  isReady(): boolean;
  /**
   * Stops within the grace time: disconnects callers, waits for running calls, then closes
   * everything.
   */
  close(): Promise<void>;
}

/** Retry budget of each service. */
const DEFAULT_RETRY_BUDGET = {
  ratio: 0.14,
  rerunRatio: 0.05,
  reserve: 2,
  refillMs: 15_000,
} as const;
/** Ends of the phases of a stop, in order, as fractions of the grace time. */
const StopPhase = {
  /** The gate accepts calls until then. */
  GateDrain: 0.25,
  /** Callers have noticed the stop by then; an idle daemon exits from here on. */
  Noticed: 0.38,
  /** The entry accepts calls until then, so that the last of them ends in time. */
  CallsTaken: 0.46,
  /** Running calls are waited for until then; those that are left are cancelled. */
  End: 0.93,
} as const;
/**
 * Interval between checks for running calls during a stop; also the longest wait for the removal of
 * the registration.
 */
const IDLE_CHECK_MS = 25;
/** Time after the start at which a daemon counts as ready even without links to others. */
const READY_WITHOUT_LINKS_MS = 1_200;

interface RelayParts {
  readonly gate: Gate;
  readonly entry: Entry;
  readonly listener: LinkListener;
  readonly members: Members;
  readonly configurations: Configurations;
  readonly registration: Registration;
  readonly upstreamTracker: UpstreamTracker;
  readonly quarantine: Quarantine;
  readonly quotas: Quotas;
  readonly rollouts: Rollouts;
  readonly uplink: Uplink | undefined;
  readonly downlink: Downlink | undefined;
  readonly log: Log;
}

/** Creates and starts a relay; rejects if an address is in use. */
export async function startRelay(options: RelayOptions): Promise<Relay> {
  const { self, names, source, registry, pacer } = options;
  const clock = getMonotonicMs;
  const { random } = Math;
  const log = createLog({ daemon: self.id });
  const startedAtMs = clock();
  const memory = createMemoryBudgets(options.hostBytes, options.collectGarbage);
  const linkBytes = memory.links;
  const { uplinkMbps } = options;
  const uplink = uplinkMbps === undefined ? undefined : createUplink(uplinkMbps, clock);
  const downlink = uplinkMbps === undefined ? undefined : createDownlink(uplinkMbps, clock);
  const deferredTasks = createDeferredTasks();
  let isStopping = false;

  const crashExchange = createCrashExchange({
    source: `${self.id}@${getWallTimeMs()}`,
    clock,
    log,
    send: (notices) => {
      listener?.pushCrashes(notices);
      members.list().forEach((peer) => peer.tellCrashes(notices));
    },
  });
  const { quarantine } = crashExchange;
  const crashNoticeExchange: CrashNoticeExchange = {
    listCrashNotices: () => quarantine.listNotices(),
    receiveCrashNotices: (notices) => crashExchange.receive(notices),
  };
  const rollouts = createRollouts({
    self,
    names,
    clock,
    random,
    log,
    store: options.rolloutStore,
    isReader: () => isFreshReader(configurations.getStatus()),
    listPeers: () => members.list(),
    broadcast: (message) => {
      listener?.pushMessage(message);
      members.list().forEach((peer) => peer.sendMessage(message));
    },
    recordExposure: (service) => metrics.recordExposure(service),
  });
  const hasRollouts = options.rolloutStore !== undefined;
  const rolloutExchange = hasRollouts ? { rollouts } : {};
  const gate = createGate({
    address: options.upstreamAddress,
    service: self.service,
    names,
    clock,
    pacer,
    answerBytes: memory.answers,
    uplink: uplink?.admission,
    recordUplinkRefusal: () => metrics.recordUplinkRefusal(),
    log,
    observe: () => listener?.pushReport(),
    receiveLeaving: (upstream, sentAtMs) => upstreamTracker.receiveLeaving(upstream, sentAtMs),
    getShare: (name) => configurations.getRoutes()?.organisations?.getShare(name) ?? 1,
    recordReordered: () => metrics.recordReordered(),
    recordSent: (isNested) => metrics.recordSent(isNested),
    quarantine,
    recordInterruption: () => metrics.recordInterruption(),
    recordCancelled: (stage) => metrics.recordCancelled(stage),
    recordResult: (result) => rollouts.recordResult(result),
  });
  const memberDepartures = createMemberDepartures();
  const departureExchange: DepartureExchange = {
    listDepartures: (memberId) =>
      memberId === self.id ? upstreamTracker.listDepartures() : memberDepartures.list(memberId),
    receiveDeparture: (memberId, departure) => {
      if (memberId === self.id) upstreamTracker.receiveDeparture(departure);
      else memberDepartures.record(memberId, departure);
    },
  };
  const upstreamTracker = createUpstreamTracker({
    service: self.service,
    heartbeatMs: options.heartbeatMs,
    clock,
    wallClock: getWallTimeMs,
    log,
    observe: (upstream) => {
      gate.setUpstream(upstream);
      rollouts.setUpstream(upstream);
      rollouts.observeReport(gate.getReport());
    },
    observeDeparture: (departure) => listener?.pushDeparture(departure),
  });
  const storeEra = createStoreEra(log);
  storeEra.subscribe((origin) => {
    const isRead = origin === EraOrigin.Platform;
    listener?.pushStatus(isRead ? StatusAudience.All : StatusAudience.DataCentre);
  });
  const configurations = createConfigurations({
    self,
    source,
    storeEra,
    clock,
    random,
    log,
    observe: (configuration, origin) => {
      entry?.setLimits(configuration.limits);
      quotas.setConfiguration(configuration);
      metrics.recordWarnings(configuration.warnings.length);
      const isRead = origin === VersionOrigin.Platform;
      listener?.pushStatus(isRead ? StatusAudience.All : StatusAudience.DataCentre);
    },
    recordRejection: () => metrics.recordRejection(),
    receiveReading: ({ orders }) => {
      if (orders !== undefined) rollouts.receiveReading(orders);
    },
    observePlatform: () => listener?.pushStatus(StatusAudience.DataCentre),
  });
  const getStatus = (): ReturnType<Configurations['getStatus']> => configurations.getStatus();
  const pauseWatch = createPauseWatch({
    intervalMs: SILENCE_CHECK_MS,
    clock,
    observe: (pause) => {
      metrics.recordPause(pause);
      log.warn('event-loop-paused', {
        pausedMs: Math.round(pause.durationMs),
        busyMs: Math.round(pause.busyMs),
        calls: entry?.countCalls(),
        served: listener?.countCalls(),
      });
    },
  });
  const members = createMembers({
    self,
    ...departureExchange,
    ...crashNoticeExchange,
    ...createKnownLimits(),
    getStatus,
    receiveStatus: (peer, status) => {
      storeEra.record(status.storeEra ?? NO_ERA, EraOrigin.Daemon);
      configurations.receiveStatus(peer, status);
      quotas.observeLink();
    },
    receiveUpdate: (peer, update) => configurations.receiveUpdate(peer, update),
    ...rolloutExchange,
    receiveQuota: (from, message, reply) => quotas.receive(from, message, reply),
    hasQuotas: () => quotas.hasRules(),
    checkPause: (intervalMs) => pauseWatch.check(intervalMs),
    observeEnd: () => configurations.checkRole(),
    clock,
    linkBytes,
    log,
  });
  const quotas = createQuotas({ self, members, clock, random, log });
  const retryBudget = createRetryBudget({ ...DEFAULT_RETRY_BUDGET, ...options.retryBudget, clock });
  const router = createRouter({
    self,
    names,
    gate,
    members,
    retryBudget,
    quarantine,
    ...(hasRollouts ? { versions: rollouts.versions } : {}),
    deferredTasks,
    clock,
    random,
    log,
  });
  const registration = createRegistration({ self, registry, storeEra, clock, random, log });
  let listener: LinkListener | undefined;
  let entry: Entry | undefined;
  const metrics = createRelayMetrics({
    getReport: () => gate.getReport(),
    getLimit: () => gate.getLimit()?.callsPerSecond,
    getVersion: () => getStatus().version,
    getPlatformAgeMs: () => getStatus().platformAgeMs,
    getStoreEra: () => storeEra.get(),
    countQuarantined: () => quarantine.list().length,
    listRollouts: () => rollouts.list(),
    countLinks: () => members.countConnected(),
    countLostLines: options.countLostLines,
    countUplinkBytes: () => uplink?.countWaitingBytes(),
    getQuotaStatus: () => quotas.getStatus(),
  });
  listener = await startLinkListener({
    self,
    ...departureExchange,
    ...crashNoticeExchange,
    gate,
    getStatus,
    buildUpdate: (version) => configurations.buildUpdate(version),
    receiveMember: (member) => members.add(member),
    receiveQuota: (from, message, reply) => quotas.receive(from, message, reply),
    ...rolloutExchange,
    linkBytes,
    uplink,
    downlink,
    names,
    clock,
    recordCancelled: (stage) => metrics.recordCancelled(stage),
    recordDownlinkRefusal: () => metrics.recordDownlinkRefusal(),
    log,
  });
  entry = await startEntry({
    address: options.entryAddress,
    callerService: self.service,
    names,
    getRoutes: () => configurations.getRoutes(),
    router,
    deferredTasks,
    clock,
    pacer,
    log,
    isRunning: (callId) => gate.isRunning(callId),
    recordNestedFailure: (callId) => gate.recordNestedFailure(callId),
    quota: quotas,
    recordOverQuota: metrics.recordOverQuota,
    recordUnauthorised: metrics.recordUnauthorised,
    callerBytes: memory.callers,
    recordCall: metrics.recordCall,
    recordEviction: metrics.recordEviction,
    recordCancelled: metrics.recordCancelled,
  });
  const limits = configurations.get()?.limits;
  if (limits !== undefined) entry.setLimits(limits);
  void configurations.run(members);
  void registration.run(members);
  log.info('started', { entry: options.entryAddress, dataCentre: self.dataCentre });
  const relayParts = {
    gate,
    entry,
    listener,
    members,
    configurations,
    registration,
    upstreamTracker,
    quarantine,
    quotas,
    rollouts,
    uplink,
    downlink,
    log,
  };
  return {
    upstreamTracker,
    metrics,
    getConfiguration: () => configurations.get(),
    isReady: () => {
      if (isStopping || configurations.get() === undefined) return false;
      return members.countConnected() > 0 || clock() - startedAtMs > READY_WITHOUT_LINKS_MS;
    },
    close: async () => {
      isStopping = true;
      await stopRelay(relayParts, options.graceMs, clock);
    },
  };
}

/**
 * Stops in an order that loses no call: callers disconnect first, then the gate closes, then
 * running calls end.
 */
async function stopRelay(relayParts: RelayParts, graceMs: number, clock: Clock): Promise<void> {
  const { gate, entry, listener, members, configurations, registration, log } = relayParts;
  const stopStartedAtMs = clock();
  log.info('stopping', { calls: entry.countCalls(), served: listener.countCalls() });
  const endAtMs = stopStartedAtMs + graceMs * StopPhase.End;
  entry.drain(endAtMs);
  await waitMs(graceMs * StopPhase.GateDrain);
  gate.drain();
  for (;;) {
    const elapsedFraction = (clock() - stopStartedAtMs) / graceMs;
    const isIdle = entry.countCalls() + listener.countCalls() === 0;
    if (elapsedFraction >= StopPhase.End || (isIdle && elapsedFraction >= StopPhase.Noticed)) break;
    if (elapsedFraction >= StopPhase.CallsTaken) entry.refuseCalls();
    await waitMs(IDLE_CHECK_MS);
  }
  entry.refuseCalls();
  configurations.close();
  await Promise.race([registration.close(), waitMs(IDLE_CHECK_MS)]);
  // Calls that arrived between the last check and the refusal still get to end within the grace
  // time.
  while (entry.countCalls() > 0 && clock() < endAtMs) await waitMs(IDLE_CHECK_MS);
  if (entry.countCalls() > 0) {
    entry.cancelCalls();
    await waitMs(IDLE_CHECK_MS);
  }
  log.info('stopped', { calls: entry.countCalls(), served: listener.countCalls() });
  entry.close();
  members.close();
  relayParts.upstreamTracker.close();
  gate.close();
  relayParts.quarantine.close();
  relayParts.quotas.close();
  relayParts.rollouts.close();
  await listener.close();
  relayParts.uplink?.close();
  relayParts.downlink?.close();
}
