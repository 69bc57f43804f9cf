import {
  type Clock,
  createLog,
  getMonotonicMs,
  getWallTimeMs,
  type Log,
  waitMs,
} from '@cactusdeal/shared';
import { createConfigurations, type Configurations } from './CactusdealRelayConfigurations.js';
import { type Entry, startEntry } from './CactusdealRelayEntry.js';
import { createGate, type Gate } from './CactusdealRelayGate.js';
import { type LinkListener, startLinkListener } from './CactusdealRelayLinkListener.js';
import { createMembers, type Members } from './CactusdealRelayMembers.js';
import { createRelayMetrics, type RelayMetrics } from './CactusdealRelayMetrics.js';
import type { ConfigurationSource, MemberRegistry } from './CactusdealRelayPorts.js';
import { createRegistration, type Registration } from './CactusdealRelayRegistration.js';
import { createRetryBudget, type RetryBudgetOptions } from './CactusdealRelayRetryAccount.js';
import { createRouter } from './CactusdealRelayRouter.js';
import type { HeaderNames, Member, RelayConfiguration } from './CactusdealRelayTypes.js';
import { createUpstreamLife, type UpstreamLife } from './CactusdealRelayUpstreamLife.js';

/** What a relay is made of. */
export interface RelayOptions {
  readonly self: Member;
  /** `IP:PORT` for the callers on this host. */
  readonly entryAddress: string;
  /** `IP:PORT` of the upstream on this host. */
  readonly upstreamAddress: string;
  /** Service of the upstream on this host. */
  readonly service: string;
  /** Time between the upstream's heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Time between the order to stop and the kill, in milliseconds. */
  readonly graceMs: number;
  readonly names: HeaderNames;
  readonly source: ConfigurationSource;
  readonly registry: MemberRegistry;
  readonly countLostLines: () => number;
  readonly retry?: Partial<Omit<RetryBudgetOptions, 'clock'>>;
}

/** A running relay. */
export interface Relay {
  readonly life: UpstreamLife;
  readonly metrics: RelayMetrics;
  getConfiguration(): RelayConfiguration | undefined;
  /** Whether callers should come here. */
  isReady(): boolean;
  /** Stops gracefully within the grace time: callers leave, calls end, then all closes. */
  close(): Promise<void>;
}

/** Sent again to another upstream for each call, and in reserve for each service. */
const RETRY = { ratio: 0.14, rerunRatio: 0.05, reserve: 2, refillMs: 15_000 } as const;
/** Parts of the grace time of a stop, in their order. */
const StopPart = {
  /** The gate takes calls until then. */
  GateOpen: 0.25,
  /** Callers have noticed by then; an idle daemon ends. */
  Noticed: 0.38,
  /** Calls are taken until then, so that the last of them ends in time. */
  CallsTaken: 0.46,
  /** Nothing is waited for after that. */
  End: 0.93,
} as const;
const IDLE_CHECK_MS = 25;
/** Time after the start for which links to others are waited for. */
const LINK_WAIT_MS = 1_200;

interface Parts {
  readonly gate: Gate;
  readonly entry: Entry;
  readonly listener: LinkListener;
  readonly members: Members;
  readonly configurations: Configurations;
  readonly registration: Registration;
  readonly life: UpstreamLife;
  readonly log: Log;
}

/** Wires the parts into one relay and starts its tasks; rejects when an address is taken. */
export async function startRelay(options: RelayOptions): Promise<Relay> {
  const { self, names, source, registry } = options;
  const clock = getMonotonicMs;
  const { random } = Math;
  const log = createLog({ daemon: self.id });
  const startedAtMs = clock();
  let isStopping = false;

  const gate = createGate({
    address: options.upstreamAddress,
    service: options.service,
    names,
    clock,
    log,
    observe: () => listener?.pushReport(),
  });
  const life = createUpstreamLife({
    heartbeatMs: options.heartbeatMs,
    clock,
    wallClock: getWallTimeMs,
    log,
    observe: gate.setUpstream.bind(gate),
  });
  const configurations = createConfigurations({
    self,
    source,
    clock,
    random,
    log,
    observe: ({ limits }) => {
      entry?.setLimits(limits);
      listener?.pushStatus();
    },
  });
  const getStatus = (): ReturnType<Configurations['getStatus']> => configurations.getStatus();
  const members = createMembers({
    self,
    getStatus,
    receiveStatus: (peer, status) => configurations.receiveStatus(peer, status),
    receiveUpdate: (peer, update) => configurations.receiveUpdate(peer, update),
    clock,
    log,
  });
  const retryBudget = createRetryBudget({ ...RETRY, ...options.retry, clock });
  const router = createRouter({ self, gate, members, retryBudget, clock, random, log });
  const registration = createRegistration({ self, registry, random, log });
  let listener: LinkListener | undefined;
  let entry: Entry | undefined;
  const metrics = createRelayMetrics({
    getReport: () => gate.getReport(),
    getVersion: () => getStatus().version,
    getPlatformAgeMs: () => getStatus().platformAgeMs,
    countLinks: () => members.countConnected(),
    countLostLines: options.countLostLines,
  });
  listener = await startLinkListener({
    self,
    gate,
    getStatus,
    buildUpdate: (version) => configurations.buildUpdate(version),
    receiveMember: (member) => members.add(member),
    log,
  });
  entry = await startEntry({
    address: options.entryAddress,
    callerService: options.service,
    names,
    getRoutes: () => configurations.getRoutes(),
    router,
    clock,
    log,
    isRunning: (callId) => gate.isRunning(callId),
    recordNestedFailure: (callId) => gate.recordNestedFailure(callId),
    recordCall: metrics.recordCall,
  });
  const limits = configurations.get()?.limits;
  if (limits !== undefined) entry.setLimits(limits);
  void configurations.run(members);
  void registration.run(members);
  log.info('started', { entry: options.entryAddress, dataCentre: self.dataCentre });
  const parts = { gate, entry, listener, members, configurations, registration, life, log };
  return {
    life,
    metrics,
    getConfiguration: () => configurations.get(),
    isReady: () => {
      if (isStopping || configurations.get() === undefined) return false;
      return members.countConnected() > 0 || clock() - startedAtMs > LINK_WAIT_MS;
    },
    close: async () => {
      isStopping = true;
      await closeParts(parts, options.graceMs, clock);
    },
  };
}

/** The order matters: callers leave first, then the gate shuts, then what runs ends. */
async function closeParts(parts: Parts, graceMs: number, clock: Clock): Promise<void> {
  const { gate, entry, listener, members, configurations, registration, life, log } = parts;
  const stoppedAtMs = clock();
  log.info('stopping', { calls: entry.countCalls(), served: listener.countCalls() });
  entry.drain();
  await waitMs(graceMs * StopPart.GateOpen);
  gate.drain();
  for (;;) {
    const elapsed = (clock() - stoppedAtMs) / graceMs;
    const isIdle = entry.countCalls() + listener.countCalls() === 0;
    if (elapsed >= StopPart.End || (isIdle && elapsed >= StopPart.Noticed)) break;
    if (elapsed >= StopPart.CallsTaken) entry.refuseCalls();
    await waitMs(IDLE_CHECK_MS);
  }
  entry.refuseCalls();
  configurations.close();
  await Promise.race([registration.close(), waitMs(IDLE_CHECK_MS)]);
  // What came between the last check and the refusals still ends in time.
  while (entry.countCalls() > 0 && (clock() - stoppedAtMs) / graceMs < StopPart.End) {
    await waitMs(IDLE_CHECK_MS);
  }
  log.info('stopped', { calls: entry.countCalls(), served: listener.countCalls() });
  entry.close();
  members.close();
  life.close();
  gate.close();
  await listener.close();
}
