import { randomBytes } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import type { Socket } from 'node:net';
import { getMonotonicMs, waitMs } from '@cactusdeal/shared';
import { MeshFailureKind } from './CactusdealMeshFailure.js';
import { type Listener, openListener } from './CactusdealMeshListener.js';
import type { MeshOptions } from './CactusdealMeshOptions.js';
import { createParts, type MeshParts } from './CactusdealMeshParts.js';
import { acceptSocket, startTasks } from './CactusdealMeshTasks.js';
import type { Mesh, SurveyResult } from './CactusdealMeshTypes.js';

/** Time that a leaving daemon keeps its connections open while its last record is broadcast. */
const LEAVE_MS = 250;
/** A survey is repeated only while at least this share of its timeout remains. */
const MIN_RETRY_TIME_RATIO = 0.3;
/** Wait before a survey is repeated. */
const SURVEY_RETRY_WAIT_MS = 20;
const SURVEY_ID_BYTES = 9;

/** A mesh that can also be stopped the way a killed process stops. */
export interface MeshNode {
  readonly mesh: Mesh;
  /** Destroys every connection without notifying the peers. */
  kill(): Promise<void>;
}

/**
 * Binds the listener and starts the tasks of one daemon's mesh.
 *
 * Rejects with the error of the operating system when the listener cannot be bound.
 */
export async function createMesh(options: MeshOptions): Promise<Mesh> {
  const { mesh } = await createMeshNode(options);
  return mesh;
}

/** Like `createMesh`, for tests and benchmarks that kill nodes. */
export async function createMeshNode(options: MeshOptions): Promise<MeshNode> {
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  let accept: (socket: Socket) => void = (socket) => socket.destroy();
  const listener = await openListener(options.meshAddress, (socket) => accept(socket));
  const parts = createParts(options, listener.address, stop.signal);
  accept = (socket) => {
    void acceptSocket(parts, socket);
  };
  startTasks(parts);
  return {
    mesh: createMeshFacade(parts, listener, stop),
    kill: () => closeParts(parts, listener, stop),
  };
}

function createMeshFacade(parts: MeshParts, listener: Listener, stop: AbortController): Mesh {
  const { members, view, notices, membership } = parts;
  return {
    getSelf: members.getSelf,
    getMembers: members.list,
    memberChanges: members.changes.stream,
    observeMembers: members.changes.observe,
    setWorker: membership.setWorker,
    getSummaries: view.getSummaries,
    observeSummaries: view.changes.observe,
    publishEntry: parts.dissemination.publishEntry,
    publishNotice: notices.publish,
    observeNotices: (observer) =>
      notices.received.observe(({ topic, value }) => observer(topic, value)),
    survey: (version, timeoutMs) => runSurvey(parts, version, timeoutMs),
    getNeighbours: () => [...parts.overlay.listPeers()].map((peer) => peer.id),
    getCounters: () => readCounters(parts),
    isReaderCandidate: () => parts.readers.isCandidate(parts.options.id),
    close: async () => {
      if (stop.signal.aborted) return;
      membership.leave();
      await waitMs(LEAVE_MS);
      await closeParts(parts, listener, stop);
    },
  };
}

/**
 * Repeats a survey until all expected daemons have answered or the time is over, and returns the
 * result with the most answers. When a connection is replaced while a survey crosses it, the
 * daemons behind it are missing from that survey; the next one reaches them over other connections.
 */
async function runSurvey(
  parts: MeshParts,
  version: number,
  timeoutMs: number,
): Promise<SurveyResult> {
  const endsAtMs = getMonotonicMs() + timeoutMs;
  let best = await surveyOnce(parts, version, timeoutMs);
  while (best.answered < best.expected) {
    const leftMs = endsAtMs - getMonotonicMs();
    if (leftMs < timeoutMs * MIN_RETRY_TIME_RATIO) break;
    await waitMs(SURVEY_RETRY_WAIT_MS);
    const next = await surveyOnce(parts, version, leftMs - SURVEY_RETRY_WAIT_MS);
    if (next.answered >= best.answered) best = next;
  }
  return best;
}

async function surveyOnce(
  { surveys, members }: MeshParts,
  version: number,
  timeoutMs: number,
): Promise<SurveyResult> {
  const id = randomBytes(SURVEY_ID_BYTES).toString('base64url');
  const totals = await surveys.run(id, version, timeoutMs);
  return { ...totals, expected: members.listPresent().length + 1 };
}

function readCounters(parts: MeshParts): Readonly<Record<string, number>> {
  const scopes = Object.entries(parts.counters).flatMap(([scope, counters]) =>
    Object.entries(counters.getTotals()).map(([name, total]) => [`${scope}.${name}`, total]),
  );
  return {
    ...(Object.fromEntries(scopes) as Record<string, number>),
    degree: parts.overlay.getDegree(),
    links: parts.links.getCount(),
    broadcastMaxHops: parts.broadcast.getMaxHops(),
  };
}

async function closeParts(
  parts: MeshParts,
  listener: Listener,
  stop: AbortController,
): Promise<void> {
  if (stop.signal.aborted) return;
  const hasLeft = parts.members.getSelf().state === 'left';
  stop.abort();
  [...parts.overlay.listPeers()].forEach((peer) => {
    if (hasLeft) parts.overlay.closePeer(peer, MeshFailureKind.Left);
    else peer.connection.destroy();
  });
  parts.links.close();
  if (!hasLeft) parts.handshake.destroyDialled();
  await listener.close();
  parts.members.changes.close();
  parts.notices.received.close();
  parts.view.changes.close();
}
