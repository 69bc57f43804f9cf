import type { GossipMessage } from '@cactusdeal/schema';
import { type Clock, waitMs } from '@cactusdeal/shared';
import type { Peer } from './CactusdealMeshPeer.js';
import type { Router } from './CactusdealMeshRouter.js';

/** What a broadcast carries; `kind` says which part takes it. */
export type GossipBody = GossipMessage['body'];

/** Takes a value that arrived for the first time; answers whether it is worth passing on. */
export type ReceiveBody = (body: GossipBody, peer: Peer) => boolean;

/** Epidemic broadcast over the active view (Plumtree, Leitão et al. 2007). */
export interface Broadcast {
  /** Spreads a value under an id; does nothing when the id was seen already. */
  publish(id: string, body: GossipBody): void;
  /** Registers the part that takes the values of one kind. */
  receive(kind: string, receiveBody: ReceiveBody): void;
  /** Drops values past their retention. */
  discardExpired(): void;
  /** Largest number of hops that a value took to come here. */
  getMaxHops(): number;
}

/** What the broadcast needs from its surroundings. */
export interface BroadcastOptions {
  readonly listPeers: () => Iterable<Peer>;
  readonly router: Router<Peer>;
  readonly clock: Clock;
  readonly signal: AbortSignal;
}

/** How long a value can be requested, and a seen id is recognised. */
const RETENTION_MS = 60_000;
const MAX_HELD_VALUES = 4096;
/** Time in which announcements to one peer are gathered. */
const ANNOUNCE_MS = 25;
/** Wait between an announcement and the request for the value. */
const GRAFT_MS = 75;
/** Requests for one missing value before the digest exchange is left to mend it. */
const MAX_GRAFTS = 5;
const MAX_MISSING_VALUES = 1024;
/** Most ids in one announcement. */
const MAX_ANNOUNCED_IDS = 256;

interface HeldValue {
  readonly body: GossipBody;
  readonly hops: number;
  readonly atMs: number;
}

/** Creates the broadcast of one daemon. */
export function createBroadcast(options: BroadcastOptions): Broadcast {
  const { listPeers, router, clock } = options;
  const receivers = new Map<string, ReceiveBody>();
  const held = new Map<string, HeldValue>();
  /** Peers to which values are announced only; they are off the tree. */
  const lazy = new WeakSet<Peer>();
  /** Announcers of each missing value, in the order in which they announced. */
  const missing = new Map<string, Peer[]>();
  let maxHops = 0;

  function hold(id: string, body: GossipBody, hops: number): void {
    held.set(id, { body, hops, atMs: clock() });
    missing.delete(id);
    maxHops = Math.max(maxHops, hops);
  }

  function forward(id: string, { body, hops }: Omit<HeldValue, 'atMs'>, source?: Peer): void {
    for (const peer of listPeers()) {
      if (peer === source) continue;
      if (lazy.has(peer)) announce(peer, id);
      else peer.send({ type: 'gossip', id, hops: hops + 1, body });
    }
  }

  /** Off the tree values are announced only, several at a time. */
  function announce(peer: Peer, id: string): void {
    peer.announcements.push(id);
    if (peer.announcements.length > 1) return;
    void waitMs(ANNOUNCE_MS, options.signal).then(() => {
      if (!options.signal.aborted) sendAnnouncements(peer);
    });
  }

  async function fetchMissing(id: string): Promise<void> {
    const announcers = missing.get(id) ?? [];
    for (let attempt = 0; attempt < MAX_GRAFTS; attempt += 1) {
      await waitMs(GRAFT_MS, options.signal);
      if (options.signal.aborted || !missing.has(id)) return;
      const peer = announcers.shift();
      if (peer === undefined) break;
      lazy.delete(peer);
      peer.send({ type: 'graft', ids: [id] });
    }
    missing.delete(id);
  }

  function receiveGossip(peer: Peer, { id, hops, body }: GossipMessage): void {
    if (held.has(id)) {
      lazy.add(peer);
      peer.send({ type: 'prune' });
      return;
    }
    hold(id, body, hops);
    lazy.delete(peer);
    const isNews = receivers.get(String(body.kind))?.(body, peer) ?? false;
    if (isNews) forward(id, { body, hops }, peer);
  }

  function receiveAnnouncement(peer: Peer, id: string): void {
    if (held.has(id)) return;
    const announcers = missing.get(id);
    if (announcers !== undefined) announcers.push(peer);
    else if (missing.size < MAX_MISSING_VALUES) {
      missing.set(id, [peer]);
      void fetchMissing(id);
    }
  }

  function answerGraft(peer: Peer, id: string): void {
    const value = held.get(id);
    if (value === undefined) return;
    peer.send({ type: 'gossip', id, hops: value.hops + 1, body: value.body });
  }

  router.handle('gossip', receiveGossip);
  router.handle('ihave', (peer, { ids }) => ids.forEach((id) => receiveAnnouncement(peer, id)));
  router.handle('graft', (peer, { ids }) => {
    lazy.delete(peer);
    ids.forEach((id) => answerGraft(peer, id));
  });
  router.handle('prune', (peer) => {
    lazy.add(peer);
  });

  return {
    publish: (id, body) => {
      if (held.has(id)) return;
      hold(id, body, 0);
      forward(id, { body, hops: 0 });
    },
    receive: (kind, receiveBody) => receivers.set(kind, receiveBody),
    discardExpired: () => discardExpired(held, clock() - RETENTION_MS),
    getMaxHops: () => maxHops,
  };
}

function sendAnnouncements(peer: Peer): void {
  while (peer.announcements.length > 0) {
    const ids = peer.announcements.splice(0, MAX_ANNOUNCED_IDS);
    peer.send({ type: 'ihave', ids });
  }
}

/** Values stand in order of arrival, so the walk ends at the first that stays. */
function discardExpired(held: Map<string, HeldValue>, beforeMs: number): void {
  for (const [id, value] of held) {
    if (value.atMs >= beforeMs && held.size <= MAX_HELD_VALUES) return;
    held.delete(id);
  }
}
