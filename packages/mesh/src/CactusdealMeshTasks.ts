import type { Socket } from 'node:net';
import { getMonotonicMs, pickRandom, waitMs } from '@cactusdeal/shared';
import { type MeshFailure, MeshFailureKind } from './CactusdealMeshFailure.js';
import { type IdentifiedConnection, toMeshFailure } from './CactusdealMeshHandshake.js';
import { toLogFields } from './CactusdealMeshOverlay.js';
import type { MeshParts } from './CactusdealMeshParts.js';
import type { Peer } from './CactusdealMeshPeer.js';

/** Silence after which a connection is given up, in heartbeats. */
const SILENT_HEARTBEATS = 4;
/** A wait for one heartbeat that took this many means that the process itself stood still. */
const PAUSE_HEARTBEATS = 3;

/** Why a neighbour's loss says nothing against it. */
const BLAMELESS_KINDS: ReadonlySet<MeshFailureKind> = new Set([
  MeshFailureKind.Busy,
  MeshFailureKind.Left,
  MeshFailureKind.Replaced,
]);

/** Starts every task of the mesh; all end when the parts' signal aborts. */
export function startTasks(parts: MeshParts): void {
  observeOverlay(parts);
  parts.dissemination.observe(parts.links.announceVersion);
  void runHeartbeats(parts);
  void runDigests(parts);
  void parts.visits.run();
  void parts.neighbourFinder.run();
  void parts.links.run();
}

/** Takes a socket that a peer opened to where its hello says it belongs. */
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
  if (purpose === 'probe') await parts.visits.serve(identified);
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
      surveys.releasePeer(peer);
      neighbourFinder.addHints(failure.contacts ?? []);
      neighbourFinder.wake();
      if (!BLAMELESS_KINDS.has(failure.kind)) detector.investigate(peer.id);
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
    if (isPaused) recordPause(parts, nowMs);
    sendHeartbeats(parts, nowMs - SILENT_HEARTBEATS * options.heartbeatMs);
    detector.reviewSuspects();
    members.discardExpired();
    broadcast.discardExpired();
    view.discardExpired();
  }
}

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

/** After a pause of this process the silence of the others says nothing yet. */
function recordPause({ overlay, detector }: MeshParts, nowMs: number): void {
  detector.recordPause();
  for (const peer of overlay.listPeers()) peer.lastReceivedMs = nowMs;
}

/** Compares digests with one random neighbour; the visits do so with the other members. */
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
