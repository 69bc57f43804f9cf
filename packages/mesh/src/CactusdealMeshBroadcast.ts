import type { GossipMessage, GraftMessage, IHaveMessage } from '@cactusdeal/schema';
import { type Clock, type Log, waitMs } from '@cactusdeal/shared';
import type { Peer } from './CactusdealMeshPeer.js';

/** What a broadcast carries. */
export type GossipBody = GossipMessage['body'];

/** Epidemic broadcast over the active view (Plumtree, Leitão et al. 2007). */
export interface Broadcast {
  /** Spreads a value under an id; does nothing when the id was seen already. */
  publish(id: string, body: GossipBody): void;
  handleGossip(peer: Peer, message: GossipMessage): void;
  handleIHave(peer: Peer, message: IHaveMessage): void;
  handleGraft(peer: Peer, message: GraftMessage): void;
  handlePrune(peer: Peer): void;
  /** Sends the announcements that are due and drops values past their retention. */
  flush(): void;
}

/** What the broadcast needs from its surroundings. */
export interface BroadcastOptions {
  readonly listPeers: () => Iterable<Peer>;
  /** Takes a value that arrived for the first time; answers whether it is worth passing on. */
  readonly deliver: (body: GossipBody, peer: Peer) => boolean;
  /** Wait between an announcement and the request for the value. */
  readonly graftMs: number;
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly log: Log;
}

/** How long a value can be requested, and a seen id is recognised. */
const RETENTION_MS = 60_000;
const MAX_HELD_VALUES = 4096;
/** Requests for one missing value before the digest exchange is left to mend it. */
const MAX_GRAFTS = 5;

interface HeldValue {
  readonly body: GossipBody;
  readonly hops: number;
  readonly atMs: number;
}

/** Creates the broadcast of one daemon. */
export function createBroadcast(options: BroadcastOptions): Broadcast {
  const { listPeers, clock } = options;
  const held = new Map<string, HeldValue>();
  /** Peers to which values are announced only; they are off the tree. */
  const lazy = new WeakSet<Peer>();
  /** Announcers of each missing value, in the order in which they announced. */
  const missing = new Map<string, Peer[]>();

  function hold(id: string, body: GossipBody, hops: number): void {
    held.set(id, { body, hops, atMs: clock() });
    missing.delete(id);
  }

  function forward(id: string, body: GossipBody, hops: number, source?: Peer): void {
    for (const peer of listPeers()) {
      if (peer === source) continue;
      if (lazy.has(peer)) peer.announcements.push(id);
      else peer.connection.send({ type: 'gossip', id, hops, body });
    }
  }

  async function fetchMissing(id: string): Promise<void> {
    const announcers = missing.get(id) ?? [];
    for (let attempt = 0; attempt < MAX_GRAFTS; attempt += 1) {
      await waitMs(options.graftMs, options.signal);
      if (options.signal.aborted || !missing.has(id)) return;
      const peer = announcers.shift();
      if (peer === undefined) break;
      lazy.delete(peer);
      peer.connection.send({ type: 'graft', ids: [id] });
    }
    missing.delete(id);
  }

  return {
    publish: (id, body) => {
      if (held.has(id)) return;
      hold(id, body, 0);
      forward(id, body, 1);
    },
    handleGossip: (peer, { id, hops, body }) => {
      if (held.has(id)) {
        lazy.add(peer);
        peer.connection.send({ type: 'prune' });
        return;
      }
      hold(id, body, hops);
      lazy.delete(peer);
      if (options.deliver(body, peer)) forward(id, body, hops + 1, peer);
    },
    handleIHave: (peer, { ids }) => {
      ids.forEach((id) => {
        if (held.has(id)) return;
        const announcers = missing.get(id);
        if (announcers !== undefined) {
          announcers.push(peer);
          return;
        }
        missing.set(id, [peer]);
        void fetchMissing(id);
      });
    },
    handleGraft: (peer, { ids }) => {
      lazy.delete(peer);
      ids.forEach((id) => {
        const value = held.get(id);
        if (value === undefined) return;
        peer.connection.send({ type: 'gossip', id, hops: value.hops + 1, body: value.body });
      });
    },
    handlePrune: (peer) => {
      lazy.add(peer);
    },
    flush: () => {
      for (const peer of listPeers()) announceHeld(peer);
      discardExpired(held, clock() - RETENTION_MS);
    },
  };
}

/** Most ids in one announcement. */
const MAX_ANNOUNCED_IDS = 256;

function announceHeld(peer: Peer): void {
  while (peer.announcements.length > 0) {
    const ids = peer.announcements.splice(0, MAX_ANNOUNCED_IDS);
    peer.connection.send({ type: 'ihave', ids });
  }
}

/** Entries stand in order of arrival, so the walk ends at the first that stays. */
function discardExpired(held: Map<string, HeldValue>, beforeMs: number): void {
  for (const [id, value] of held) {
    if (value.atMs >= beforeMs && held.size <= MAX_HELD_VALUES) return;
    held.delete(id);
  }
}
