import type { Socket } from 'node:net';
import type { GossipMessage, LogEntry, MemberRecord, ServiceSummary } from '@cactusdeal/schema';
import {
  createChannel,
  getMonotonicMs,
  getWallTimeMs,
  pickRandom,
  waitMs,
} from '@cactusdeal/shared';
import { createBroadcast } from './CactusdealMeshBroadcast.js';
import { createTrafficCounters } from './CactusdealMeshConnection.js';
import { createExchange, parseEntry, parseRecord } from './CactusdealMeshExchange.js';
import { MeshFailureKind } from './CactusdealMeshFailure.js';
import { createHandshake, type Introduced, toMeshFailure } from './CactusdealMeshHandshake.js';
import { openListener } from './CactusdealMeshListener.js';
import { createMemberTable, MergeOutcome } from './CactusdealMeshMembers.js';
import type { MeshMessage } from './CactusdealMeshMessages.js';
import { MAX_DEGREE_SLACK, type MeshOptions } from './CactusdealMeshOptions.js';
import { createOverlay, toLogFields } from './CactusdealMeshOverlay.js';
import type { Peer } from './CactusdealMeshPeer.js';
import { createRateLimit } from './CactusdealMeshRateLimit.js';
import { selectReaders } from './CactusdealMeshReaders.js';
import { createSeeker } from './CactusdealMeshSeeker.js';
import { createSurveys } from './CactusdealMeshSurvey.js';
import type { Mesh } from './CactusdealMeshTypes.js';

/** Joins that a daemon accepts. */
const JOINS_PER_SECOND = 20;
const JOIN_BURST = 10;
/** How long gone members are remembered, in heartbeats. */
const RETENTION_HEARTBEATS = 600;
const HANDSHAKE_HEARTBEATS = 2;
const MIN_HANDSHAKE_MS = 300;
/** Silence after which a connection is given up, in heartbeats. */
const SILENT_HEARTBEATS = 4;

/**
 * Binds the listener and starts the tasks of one daemon's mesh.
 *
 * Rejects with the system's error when the listener cannot be bound.
 */
export async function createMesh(options: MeshOptions): Promise<Mesh> {
  const { state, log, heartbeatMs, dataCentre } = options;
  const clock = options.clock ?? getWallTimeMs;
  const random = options.random ?? Math.random;
  const stop = new AbortController();
  const { signal } = stop;
  const counters = { local: createTrafficCounters(), remote: createTrafficCounters() };
  const notices = createChannel<{ topic: string; value: unknown }>();
  const summaries = createChannel<readonly ServiceSummary[]>();

  let acceptSocket: (socket: Socket) => void = (socket) => socket.destroy();
  const listener = await openListener(options.meshAddress, (socket) => acceptSocket(socket));
  const self: MemberRecord = {
    id: options.id,
    dataCentre,
    incarnation: clock(),
    meshAddress: listener.address,
    callsAddress: options.callsAddress,
    adminAddress: options.adminAddress,
    state: 'alive',
  };
  const members = createMemberTable(self, RETENTION_HEARTBEATS * heartbeatMs, clock);
  const handshake = createHandshake({
    cluster: options.cluster,
    getSelf: members.getSelf,
    timeoutMs: Math.max(MIN_HANDSHAKE_MS, HANDSHAKE_HEARTBEATS * heartbeatMs),
    counters,
  });
  const overlay = createOverlay({
    dataCentre,
    handshake,
    members,
    activeDegree: options.activeDegree,
    maxDegree: options.activeDegree + MAX_DEGREE_SLACK,
    joinLimit: createRateLimit(JOINS_PER_SECOND, JOIN_BURST, getMonotonicMs),
    random,
    log,
    handleMessage,
    onPeerUp: (peer, isDialer) => {
      if (isDialer) peer.connection.send(exchange.createDigest(true));
      publishRecord(members.getSelf());
    },
    onPeerDown: (peer, failure) => {
      surveys.releasePeer(peer);
      seeker.addHints(failure.contacts ?? []);
      seeker.wake();
    },
  });
  const broadcast = createBroadcast({
    listPeers: overlay.listPeers,
    deliver: receiveBody,
    graftMs: heartbeatMs / 2,
    clock: getMonotonicMs,
    signal,
    log,
  });
  const exchange = createExchange({
    state,
    members,
    clock: getMonotonicMs,
    snapshotIntervalMs: options.digestMs,
    mergeRecords: (records) => records.forEach((record) => mergeRecord(record)),
    onEntry: publishEntry,
    onSnapshot: announceVersion,
  });
  const surveys = createSurveys({
    memberId: options.id,
    state,
    listPeers: overlay.listPeers,
    clock: getMonotonicMs,
    signal,
  });
  const seeker = createSeeker({
    overlay,
    members,
    activeDegree: options.activeDegree,
    contacts: options.contacts,
    findContacts: options.findContacts ?? (() => Promise.resolve([])),
    heartbeatMs,
    random,
    signal,
    log,
  });

  function handleMessage(peer: Peer, message: MeshMessage): void {
    if (message.type === 'gossip') broadcast.handleGossip(peer, message);
    else if (message.type === 'ihave') broadcast.handleIHave(peer, message);
    else if (message.type === 'graft') broadcast.handleGraft(peer, message);
    else if (message.type === 'prune') broadcast.handlePrune(peer);
    else if (message.type === 'survey') surveys.handleSurvey(peer, message);
    else if (message.type === 'survey-answer') surveys.handleAnswer(peer, message);
    else exchange.handle(peer.id, peer.connection.send, message);
  }

  function publishRecord(record: MemberRecord): void {
    if (overlay.getDegree() === 0) return;
    const id = `member ${record.id} ${record.incarnation} ${record.state}`;
    broadcast.publish(id, { kind: 'member', record });
  }

  function mergeRecord(record: MemberRecord): boolean {
    if (record.dataCentre !== dataCentre) return false;
    const outcome = members.merge(record);
    if (outcome === MergeOutcome.Refuted) publishRecord(members.getSelf());
    return outcome === MergeOutcome.Changed;
  }

  function publishEntry(entry: LogEntry): void {
    broadcast.publish(`entry ${entry.version}`, { kind: 'entry', entry });
  }

  function announceVersion(): void {
    for (const peer of overlay.listPeers()) peer.connection.send(exchange.createDigest(false));
  }

  function receiveBody(body: GossipMessage['body'], peer: Peer): boolean {
    if (body.kind === 'member') return mergeRecord(parseRecord(body.record));
    if (body.kind === 'entry') return receiveEntry(parseEntry(body.entry), peer);
    if (body.kind === 'notice') return receiveNotice(body);
    return false;
  }

  function receiveEntry(entry: LogEntry, peer: Peer): boolean {
    if (state.acceptEntry(entry)) return true;
    const isGap = entry.version > state.getHeadVersion();
    if (isGap) peer.connection.send(exchange.createDigest(true));
    return false;
  }

  function receiveNotice(body: GossipMessage['body']): boolean {
    notices.push({ topic: String(body.topic), value: body.value });
    return true;
  }

  async function acceptConnection(socket: Socket): Promise<void> {
    try {
      admitConnection(await handshake.admit(socket));
    } catch (caught) {
      const failure = toMeshFailure(caught);
      if (failure.kind !== MeshFailureKind.Unreachable) {
        log.warn('mesh-connection-refused', toLogFields(failure));
      }
    }
  }

  function admitConnection(introduced: Introduced): void {
    overlay.admit(introduced);
  }

  async function runHeartbeats(): Promise<void> {
    while (!signal.aborted) {
      await waitMs(heartbeatMs, signal);
      const silentBeforeMs = getMonotonicMs() - SILENT_HEARTBEATS * heartbeatMs;
      for (const peer of [...overlay.listPeers()]) {
        if (peer.lastReceivedMs < silentBeforeMs) overlay.release(peer, MeshFailureKind.Silent);
        else peer.connection.send({ type: 'heartbeat' });
      }
      broadcast.flush();
      members.discardExpired();
    }
  }

  async function runDigests(): Promise<void> {
    while (!signal.aborted) {
      await waitMs(options.digestMs * (0.5 + random()), signal);
      const [peer] = pickRandom([...overlay.listPeers()], 1, random);
      peer?.connection.send(exchange.createDigest(true));
    }
  }

  acceptSocket = (socket) => {
    void acceptConnection(socket);
  };
  void runHeartbeats();
  void runDigests();
  void seeker.run();

  return {
    getSelf: members.getSelf,
    getMembers: members.list,
    memberChanges: members.changes.stream,
    observeMembers: members.changes.observe,
    setWorker: (worker) => {
      members.setWorker(worker);
      publishRecord(members.getSelf());
    },
    getSummaries: () => [],
    observeSummaries: summaries.observe,
    publishEntry,
    publishNotice: (topic, id, value) =>
      broadcast.publish(`notice ${topic} ${id}`, { kind: 'notice', topic, value }),
    observeNotices: (listen) => notices.observe(({ topic, value }) => listen(topic, value)),
    survey: async (version, timeoutMs) => {
      const id = `${options.id} ${getMonotonicMs()}`;
      const totals = await surveys.run(id, version, timeoutMs);
      return { ...totals, expected: members.listPresent().length + 1 };
    },
    getCounters: () => ({
      ...Object.fromEntries(
        Object.entries(counters).flatMap(([scope, totals]) =>
          Object.entries(totals.getTotals()).map(([name, count]) => [
            `${scope}.${name}`,
            Number(count),
          ]),
        ),
      ),
      degree: overlay.getDegree(),
    }),
    isReaderCandidate: () =>
      selectReaders(members.list(), options.readersPerDataCentre).some(
        (record) => record.id === options.id,
      ),
    close: async () => {
      members.setSelfState('left');
      publishRecord(members.getSelf());
      stop.abort();
      for (const peer of [...overlay.listPeers()]) overlay.release(peer, MeshFailureKind.Left);
      await listener.close();
      members.changes.close();
      notices.close();
      summaries.close();
    },
  };
}
