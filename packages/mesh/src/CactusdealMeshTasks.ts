import type { Socket } from 'node:net';
import { getMonotonicMs, pickRandom, waitMs } from '@cactusdeal/shared';
import { type MeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';
import { type IdentifiedConnection, toMeshFailure } from './CactusdealMeshHandshake.js';
import { toLogFields } from './CactusdealMeshOverlay.js';
import type { MeshParts } from './CactusdealMeshParts.js';
import type { Peer } from './CactusdealMeshPeer.js';

/** Heartbeats without a message after which a neighbour's connection is closed. */
const SILENT_HEARTBEATS = 4;
/**
 * When the wait for one heartbeat takes longer than this many, the process itself was suspended or
 * its event loop blocked.
 */
const PAUSE_HEARTBEATS = 3;

/** Reasons for a closed connection that do not suggest a failure of the neighbour. */
const ORDERLY_CLOSE_KINDS: ReadonlySet<MeshFailureKind> = new Set([
  MeshFailureKind.Busy,
  MeshFailureKind.Left,
  MeshFailureKind.Replaced,
]);

/** Starts all tasks of the mesh; they end when the signal of `parts` aborts. */
export function startTasks(parts: MeshParts): void {
  observeOverlay(parts);
  parts.dissemination.observe(parts.links.announceVersion);
  void runHeartbeats(parts);
  void runDigests(parts);
  void parts.probes.run();
  void parts.neighbourFinder.run();
  void parts.links.run();
}

/** Runs the handshake on an accepted socket and hands the connection over by its purpose. */
export async function acceptSocket(parts: MeshParts, socket: Socket): Promise<void> {
  try {
    await admitConnection(parts, await parts.handshake.admit(socket));
  } catch (caught) {
    const failure = toMeshFailure(caught);
    if (failure.kind === MeshFailureKind.Unreachable) return;
    parts.options.log.warn('mesh-connection-refused', toLogFields(failure));
  }
}

async function admitConnection(parts: MeshParts, identified: IdentifiedConnection): Promise<void> {
  const { purpose } = identified.hello;
  if (purpose === 'probe') await parts.probes.serve(identified);
  else if (purpose === 'link') parts.links.admit(identified);
  else parts.overlay.admit(identified);
}

function observeOverlay(parts: MeshParts): void {
  const { overlay, exchange, membership, surveys, neighbourFinder, detector } = parts;
  overlay.observe({
    onPeerUp: (peer, isDialer) => {
      if (isDialer) exchange.sendDigest(peer, true);
      membership.publishSelf();
    },
    onPeerDown: (peer: Peer, failure: MeshFailure) => {
      surveys.removePeer(peer);
      neighbourFinder.addHints(failure.contacts ?? []);
      neighbourFinder.wake();
      if (!ORDERLY_CLOSE_KINDS.has(failure.kind)) detector.investigate(peer.id);
    },
  });
}

async function runHeartbeats(parts: MeshParts): Promise<void> {
  const { options, detector, members, broadcast, view, signal } = parts;
  let tickedAtMs = getMonotonicMs();
  while (!signal.aborted) {
    await waitMs(options.heartbeatMs, signal);
    if (signal.aborted) return;
    const nowMs = getMonotonicMs();
    const isPaused = nowMs - tickedAtMs > PAUSE_HEARTBEATS * options.heartbeatMs;
    tickedAtMs = nowMs;
    if (isPaused) handleProcessPause(parts, nowMs);
    sendHeartbeats(parts, nowMs - SILENT_HEARTBEATS * options.heartbeatMs);
    detector.reviewSuspects();
    members.discardExpired();
    broadcast.discardExpired();
    view.discardExpired();
  }
}

/** Sends a heartbeat to each neighbour; closes the connections that were silent for too long. */
function sendHeartbeats({ overlay, detector }: MeshParts, silentBeforeMs: number): void {
  [...overlay.listPeers()].forEach((peer) => {
    if (peer.lastReceivedMs >= silentBeforeMs) {
      peer.send({ type: 'heartbeat' });
      return;
    }
    overlay.closePeer(peer, MeshFailureKind.Silent);
    detector.investigate(peer.id);
  });
}

/**
 * Counts the silence of the peers from now, since this process could not read their messages during
 * its pause.
 */
function handleProcessPause({ overlay, detector }: MeshParts, nowMs: number): void {
  detector.recordProcessPause();
  for (const peer of overlay.listPeers()) peer.lastReceivedMs = nowMs;
}

/**
 * Starts anti-entropy with a random neighbour at each interval; the probes do so with any member.
 */
async function runDigests({
  options,
  overlay,
  exchange,
  random,
  signal,
}: MeshParts): Promise<void> {
  while (!signal.aborted) {
    await waitMs(options.digestMs * (0.5 + random()), signal);
    const [peer] = pickRandom([...overlay.listPeers()], 1, random);
    if (peer !== undefined && !signal.aborted) exchange.sendDigest(peer, true);
  }
}
