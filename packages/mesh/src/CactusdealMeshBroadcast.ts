import type { GossipMessage } from '@cactusdeal/schema';
import { type Clock, waitMs } from '@cactusdeal/shared';
import type { Peer } from './CactusdealMeshPeer.js';
import type { Router } from './CactusdealMeshRouter.js';

/** A broadcast value; its `kind` selects the receiver. */
export type GossipBody = GossipMessage['body'];

/** Handles a value that arrived for the first time; returns whether to forward it. */
export type ReceiveBody = (body: GossipBody, peer: Peer) => boolean;

/**
 * Epidemic broadcast over the active view (Plumtree, Leitão et al. 2007). Values are pushed along a
 * spanning tree and announced by id on the other connections; a daemon that misses an announced
 * value requests it from an announcer, whose connection then joins the tree.
 */
export interface Broadcast {
  /** Broadcasts a value under an id; does nothing when the id is already known. */
  publish(id: string, body: GossipBody): void;
  /** Registers the receiver of the values of one kind. */
  receive(kind: string, receiveBody: ReceiveBody): void;
  /** Deletes values past their retention or beyond the cache's limit. */
  discardExpired(): void;
  /** Largest number of hops of any value received. */
  getMaxHops(): number;
}

/** Dependencies of the broadcast. */
export interface BroadcastOptions {
  readonly listPeers: () => Iterable<Peer>;
  readonly router: Router<Peer>;
  readonly clock: Clock;
  readonly signal: AbortSignal;
}

/** How long a value can be requested, and its id is recognised as a duplicate. */
const RETENTION_MS = 60_000;
const MAX_CACHED_VALUES = 4096;
/** Time in which announcements to one peer are collected into one message. */
const ANNOUNCE_DELAY_MS = 25;
/** Wait before a missing value is requested; the tree usually delivers it earlier. */
const GRAFT_DELAY_MS = 75;
/** Requests for one missing value; after them it is left to anti-entropy. */
const MAX_GRAFTS = 5;
/** Missing values tracked; announcements of others are ignored. */
const MAX_MISSING_VALUES = 1024;
/** Most ids in one announcement message. */
const MAX_ANNOUNCED_IDS = 256;

interface CachedValue {
  readonly body: GossipBody;
  readonly hops: number;
  readonly atMs: number;
}

/** Creates the broadcast of one daemon. */
export function createBroadcast(options: BroadcastOptions): Broadcast {
  const { listPeers, router, clock } = options;
  const receivers = new Map<string, ReceiveBody>();
  const cached = new Map<string, CachedValue>();
  /** Peers outside the broadcast tree, which receive announcements instead of values. */
  const lazyPeers = new WeakSet<Peer>();
  /** Peers that announced each missing value, in order of arrival. */
  const missing = new Map<string, Peer[]>();
  let maxHops = 0;

  function storeValue(id: string, body: GossipBody, hops: number): void {
    cached.set(id, { body, hops, atMs: clock() });
    missing.delete(id);
    maxHops = Math.max(maxHops, hops);
  }

  function forward(id: string, { body, hops }: Omit<CachedValue, 'atMs'>, source?: Peer): void {
    for (const peer of listPeers()) {
      if (peer === source) continue;
      if (lazyPeers.has(peer)) announce(peer, id);
      else peer.send({ type: 'gossip', id, hops: hops + 1, body });
    }
  }

  /** Queues an announcement; all that are queued within the delay go into one message. */
  function announce(peer: Peer, id: string): void {
    peer.announcements.push(id);
    if (peer.announcements.length > 1) return;
    void waitMs(ANNOUNCE_DELAY_MS, options.signal).then(() => {
      if (!options.signal.aborted) sendAnnouncements(peer);
    });
  }

  async function fetchMissing(id: string): Promise<void> {
    const announcers = missing.get(id) ?? [];
    for (let attempt = 0; attempt < MAX_GRAFTS; attempt += 1) {
      await waitMs(GRAFT_DELAY_MS, options.signal);
      if (options.signal.aborted || !missing.has(id)) return;
      const peer = announcers.shift();
      if (peer === undefined) break;
      lazyPeers.delete(peer);
      peer.send({ type: 'graft', ids: [id] });
    }
    missing.delete(id);
  }

  function receiveGossip(peer: Peer, { id, hops, body }: GossipMessage): void {
    if (cached.has(id)) {
      lazyPeers.add(peer);
      peer.send({ type: 'prune' });
      return;
    }
    storeValue(id, body, hops);
    lazyPeers.delete(peer);
    const isNew = receivers.get(String(body.kind))?.(body, peer) ?? false;
    if (isNew) forward(id, { body, hops }, peer);
  }

  function receiveAnnouncement(peer: Peer, id: string): void {
    if (cached.has(id)) return;
    const announcers = missing.get(id);
    if (announcers !== undefined) announcers.push(peer);
    else if (missing.size < MAX_MISSING_VALUES) {
      missing.set(id, [peer]);
      void fetchMissing(id);
    }
  }

  function answerGraft(peer: Peer, id: string): void {
    const value = cached.get(id);
    if (value === undefined) return;
    peer.send({ type: 'gossip', id, hops: value.hops + 1, body: value.body });
  }

  router.handle('gossip', receiveGossip);
  router.handle('ihave', (peer, { ids }) => ids.forEach((id) => receiveAnnouncement(peer, id)));
  router.handle('graft', (peer, { ids }) => {
    lazyPeers.delete(peer);
    ids.forEach((id) => answerGraft(peer, id));
  });
  router.handle('prune', (peer) => {
    lazyPeers.add(peer);
  });

  return {
    publish: (id, body) => {
      if (cached.has(id)) return;
      storeValue(id, body, 0);
      forward(id, { body, hops: 0 });
    },
    receive: (kind, receiveBody) => receivers.set(kind, receiveBody),
    discardExpired: () => discardExpired(cached, clock() - RETENTION_MS),
    getMaxHops: () => maxHops,
  };
}

function sendAnnouncements(peer: Peer): void {
  while (peer.announcements.length > 0) {
    const ids = peer.announcements.splice(0, MAX_ANNOUNCED_IDS);
    peer.send({ type: 'ihave', ids });
  }
}

/** Values are in order of arrival, so the loop ends at the first one that is kept. */
function discardExpired(cached: Map<string, CachedValue>, beforeMs: number): void {
  for (const [id, value] of cached) {
    if (value.atMs >= beforeMs && cached.size <= MAX_CACHED_VALUES) return;
    cached.delete(id);
  }
}
