import type { MemberRecord } from '@cactusdeal/schema';
import { type Clock, getMonotonicMs, getWallTimeMs, type Random } from '@cactusdeal/shared';
import { type Broadcast, createBroadcast } from './CactusdealMeshBroadcast.js';
import {
  createTrafficCounters,
  openSocket,
  type TrafficCounters,
} from './CactusdealMeshConnection.js';
import { createDetector, type Detector } from './CactusdealMeshDetector.js';
import {
  createDissemination,
  type Dissemination,
  registerDissemination,
} from './CactusdealMeshDissemination.js';
import { createExchange, type Exchange } from './CactusdealMeshExchange.js';
import { createHandshake, type Handshake } from './CactusdealMeshHandshake.js';
import { createLinks, type Links } from './CactusdealMeshLinks.js';
import { createMemberTable, type MemberTable } from './CactusdealMeshMembers.js';
import { createMembership, type Membership } from './CactusdealMeshMembership.js';
import { createNotices, type Notices } from './CactusdealMeshNotices.js';
import { MAX_DEGREE_SLACK, type MeshOptions } from './CactusdealMeshOptions.js';
import { createOverlay, type Overlay } from './CactusdealMeshOverlay.js';
import type { Peer } from './CactusdealMeshPeer.js';
import { createRateLimit } from './CactusdealMeshRateLimit.js';
import { createReaderCandidates, type ReaderCandidates } from './CactusdealMeshReaders.js';
import { createRemoteView, type RemoteView } from './CactusdealMeshRemoteView.js';
import { createRouter, type Router } from './CactusdealMeshRouter.js';
import { createNeighbourFinder, type NeighbourFinder } from './CactusdealMeshNeighbourFinder.js';
import { createSummarySource } from './CactusdealMeshSummarySource.js';
import { createSurveys, type Surveys } from './CactusdealMeshSurvey.js';
import { createMemberProbes, type MemberProbes } from './CactusdealMeshProbes.js';

/** Rate limit of the joins that a daemon accepts. */
const JOINS_PER_SECOND = 20;
const JOIN_BURST = 10;
/** How long dead and left members are kept, in heartbeats. */
const RETENTION_HEARTBEATS = 600;
/** Timeout of a connection attempt or a hello, in heartbeats, and its minimum in milliseconds. */
const PROBE_HEARTBEATS = 1.5;
const MIN_PROBE_MS = 250;
/** Longest timeout of a dial for a neighbour, and of the hello on an accepted connection. */
const MAX_DIAL_TIMEOUT_MS = 4_000;
/** Time in which a suspect can refute before it is declared dead, in heartbeats. */
const SUSPICION_HEARTBEATS = 4;
/** Digest intervals after which the services of a data centre without a link are hidden. */
const REMOTE_EXPIRY_DIGESTS = 3;
/** Longest time that a probe's connection stays open. */
const MAX_PROBE_SESSION_MS = 10_000;

/** All components of one daemon's mesh. */
export interface MeshParts {
  readonly options: MeshOptions;
  readonly clock: Clock;
  readonly random: Random;
  readonly signal: AbortSignal;
  readonly counters: Readonly<Record<'local' | 'remote', TrafficCounters>>;
  readonly members: MemberTable;
  readonly handshake: Handshake;
  readonly router: Router<Peer>;
  readonly overlay: Overlay;
  readonly broadcast: Broadcast;
  readonly membership: Membership;
  readonly view: RemoteView;
  readonly notices: Notices;
  readonly exchange: Exchange;
  readonly dissemination: Dissemination;
  readonly surveys: Surveys;
  readonly probes: MemberProbes;
  readonly detector: Detector;
  readonly neighbourFinder: NeighbourFinder;
  readonly readers: ReaderCandidates;
  readonly links: Links;
}

/** Components that every other component depends on. */
type CoreParts = Pick<
  MeshParts,
  | 'options'
  | 'clock'
  | 'random'
  | 'signal'
  | 'counters'
  | 'members'
  | 'handshake'
  | 'router'
  | 'overlay'
  | 'broadcast'
>;

/** The core components and those that replicate state. */
type SharedParts = CoreParts &
  Pick<MeshParts, 'membership' | 'view' | 'notices' | 'exchange' | 'dissemination'>;

/** Creates and connects the components of one daemon that listens on `meshAddress`; starts none. */
export function createParts(
  options: MeshOptions,
  meshAddress: string,
  signal: AbortSignal,
): MeshParts {
  const shared = createSharedParts(createCoreParts(options, meshAddress, signal));
  const { members, router, overlay } = shared;
  const surveys = createSurveys({
    memberId: options.id,
    state: options.state,
    listPeers: overlay.listPeers,
    router,
    clock: getMonotonicMs,
    signal,
  });
  const { probes, detector } = createFailureDetection(shared);
  const neighbourFinder = createNeighbourFinder({
    overlay,
    members,
    activeDegree: options.activeDegree,
    contacts: options.contacts,
    findContacts: options.findContacts ?? findNoAddresses,
    heartbeatMs: options.heartbeatMs,
    minDialTimeoutMs: getProbeTimeoutMs(options),
    maxDialTimeoutMs: getMaxDialTimeoutMs(options),
    random: shared.random,
    signal,
  });
  const readers = createReaderCandidates(members, options.readersPerDataCentre);
  const links = createLinkParts(shared, readers);
  return { ...shared, surveys, probes, detector, neighbourFinder, readers, links };
}

function createCoreParts(
  options: MeshOptions,
  meshAddress: string,
  signal: AbortSignal,
): CoreParts {
  const clock = options.clock ?? getWallTimeMs;
  const random = options.random ?? Math.random;
  const { activeDegree, heartbeatMs } = options;
  const counters = { local: createTrafficCounters(), remote: createTrafficCounters() };
  const self = createOwnRecord(options, meshAddress, clock());
  const members = createMemberTable(self, RETENTION_HEARTBEATS * heartbeatMs, clock);
  const handshake = createHandshake({
    cluster: options.cluster,
    getSelf: members.getSelf,
    timeoutMs: getProbeTimeoutMs(options),
    admitTimeoutMs: getMaxDialTimeoutMs(options),
    openSocket: options.openSocket ?? openSocket,
    signal,
    counters,
  });
  const router = createRouter<Peer>();
  const overlay = createOverlay({
    dataCentre: options.dataCentre,
    handshake,
    members,
    maxDegree: activeDegree + MAX_DEGREE_SLACK,
    joinLimit: createRateLimit(JOINS_PER_SECOND, JOIN_BURST, getMonotonicMs),
    random,
    log: options.log,
    router,
  });
  const broadcast = createBroadcast({
    listPeers: overlay.listPeers,
    router,
    clock: getMonotonicMs,
    signal,
  });
  router.handle('heartbeat', () => {});
  return {
    options,
    clock,
    random,
    signal,
    counters,
    members,
    handshake,
    router,
    overlay,
    broadcast,
  };
}

function createSharedParts(core: CoreParts): SharedParts {
  const { options, members, broadcast, overlay, clock } = core;
  const membership = createMembership({
    dataCentre: options.dataCentre,
    members,
    broadcast,
    overlay,
    log: options.log,
  });
  const view = createRemoteView({
    memberId: options.id,
    members,
    broadcast,
    clock,
    expiryMs: REMOTE_EXPIRY_DIGESTS * options.digestMs,
  });
  const dissemination = createDissemination({ broadcast, overlay });
  const exchange = createExchange({
    state: options.state,
    tables: { members: membership.table, summaries: view.table },
    clock: getMonotonicMs,
    wallClock: clock,
    snapshotIntervalMs: options.digestMs,
    onEntry: dissemination.publishEntry,
    onSnapshot: () => dissemination.announceVersion(exchange),
  });
  exchange.register(core.router);
  registerDissemination({ broadcast, exchange, dissemination, state: options.state });
  const notices = createNotices(broadcast, clock);
  return { ...core, membership, view, notices, exchange, dissemination };
}

function createFailureDetection(shared: SharedParts): Pick<MeshParts, 'probes' | 'detector'> {
  const { options, members, random, signal } = shared;
  const probes = createMemberProbes({
    dataCentre: options.dataCentre,
    handshake: shared.handshake,
    members,
    exchange: shared.exchange,
    contacts: options.contacts,
    digestMs: options.digestMs,
    maxSessionMs: MAX_PROBE_SESSION_MS,
    random,
    signal,
    hasNeighbours: () => shared.overlay.getDegree() > 0,
    onUnreachable: (memberId) => detector.investigate(memberId),
  });
  const detector = createDetector({
    members,
    membership: shared.membership,
    overlay: shared.overlay,
    router: shared.router,
    probe: probes.probe,
    probeTimeoutMs: getProbeTimeoutMs(options),
    suspicionMs: SUSPICION_HEARTBEATS * options.heartbeatMs,
    clock: shared.clock,
    random,
    signal,
    log: options.log,
  });
  return { probes, detector };
}

function createLinkParts(shared: SharedParts, readers: ReaderCandidates): Links {
  const { options, clock, members } = shared;
  return createLinks({
    dataCentre: options.dataCentre,
    state: options.state,
    handshake: shared.handshake,
    exchange: shared.exchange,
    view: shared.view,
    source: createSummarySource(options.dataCentre, members, clock),
    isCandidate: () => readers.isCandidate(options.id),
    listReaderAddresses: () =>
      readers.list().map((record) => record.remoteMeshAddress ?? record.meshAddress),
    remoteContacts: options.remoteContacts,
    findRemoteReaders: options.findRemoteReaders ?? findNoAddresses,
    readersPerDataCentre: options.readersPerDataCentre,
    heartbeatMs: options.heartbeatMs,
    digestMs: options.digestMs,
    clock: getMonotonicMs,
    random: shared.random,
    signal: shared.signal,
    log: options.log,
  });
}

/** Creates the member record of a daemon that has just started: alive, without a worker. */
export function createOwnRecord(
  options: MeshOptions,
  meshAddress: string,
  incarnation: number,
): MemberRecord {
  const { id, dataCentre, callsAddress, adminAddress } = options;
  const { remoteMeshAddress, remoteCallsAddress } = options;
  return {
    id,
    dataCentre,
    incarnation,
    meshAddress,
    callsAddress,
    ...(remoteMeshAddress === undefined ? {} : { remoteMeshAddress }),
    ...(remoteCallsAddress === undefined ? {} : { remoteCallsAddress }),
    adminAddress,
    state: 'alive',
  };
}

function getProbeTimeoutMs({ heartbeatMs }: MeshOptions): number {
  return Math.max(MIN_PROBE_MS, PROBE_HEARTBEATS * heartbeatMs);
}

function getMaxDialTimeoutMs(options: MeshOptions): number {
  return Math.max(MAX_DIAL_TIMEOUT_MS, getProbeTimeoutMs(options));
}

function findNoAddresses(): Promise<readonly string[]> {
  return Promise.resolve([]);
}
