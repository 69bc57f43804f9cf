import type { Clock, Log } from '@cactusdeal/shared';
import type { GateView } from './CactusdealRelayBalancer.js';
import { createPeer, type Peer, SILENCE_CHECK_MS } from './CactusdealRelayPeer.js';
import type { Member } from './CactusdealRelayTypes.js';
import type { VersionUpdate } from './CactusdealRelayVersionHistory.js';
import type { Status } from './CactusdealRelayWire.js';

/** The other daemons that this one knows, each with the link that it dials. */
export interface Members {
  /** Adds a daemon, or gives a known one its new address. */
  add(member: Member): void;
  /** Takes a whole list of registered daemons; one that is neither in it nor linked is forgotten. */
  replace(listed: readonly Member[]): void;
  find(id: string): Peer | undefined;
  list(): readonly Peer[];
  /** Gates in the own data centre, or in others, that fit. */
  listGates(wanted: GateQuery, isLocal: boolean): readonly GateView[];
  countConnected(): number;
  close(): void;
}

/** Which gates are looked for, and what is to be expected of them. */
export interface GateQuery {
  readonly service: string;
  /** Kind of the call. */
  readonly kind: string;
  /** Most that the kind is taken to need where it was never seen, in milliseconds. */
  readonly estimateCapMs: number;
}

export interface MembersOptions {
  readonly self: Member;
  readonly getStatus: () => Status;
  readonly receiveStatus: (peer: Peer, status: Status) => void;
  readonly receiveUpdate: (peer: Peer, update: VersionUpdate) => void;
  readonly clock: Clock;
  readonly log: Log;
}

export function createMembers(options: MembersOptions): Members {
  const peers = new Map<string, Peer>();
  // One timer for all links: a timer for each would wake the process for each.
  const timer = setInterval(() => peers.forEach((peer) => peer.checkSilence()), SILENCE_CHECK_MS);
  return {
    add,
    replace: (listed) => {
      listed.forEach(add);
      const ids = new Set(listed.map((member) => member.id));
      peers.forEach((peer, id) => {
        if (!ids.has(id) && !peer.isConnected()) remove(id, peer);
      });
    },
    find: (id) => peers.get(id),
    list: () => [...peers.values()],
    listGates: ({ service, kind, estimateCapMs }, isLocal) => {
      const views: GateView[] = [];
      peers.forEach((peer) => {
        if (peer.getService() !== service || isNear(peer) !== isLocal) return;
        const view = peer.getView(kind, estimateCapMs);
        if (view !== undefined) views.push(view);
      });
      return views;
    },
    countConnected: () => [...peers.values()].filter((peer) => peer.isConnected()).length,
    close: () => {
      clearInterval(timer);
      peers.forEach((peer) => peer.close());
      peers.clear();
    },
  };

  function isNear({ member }: Peer): boolean {
    return member.dataCentre === options.self.dataCentre;
  }

  function add(member: Member): void {
    if (member.id === options.self.id) return;
    const known = peers.get(member.id);
    if (known?.member.address === member.address) return;
    known?.close();
    options.log.info('member-added', { member: member.id, address: member.address });
    peers.set(member.id, createPeer({ ...options, member }));
  }

  function remove(id: string, peer: Peer): void {
    options.log.info('member-removed', { member: id });
    peer.close();
    peers.delete(id);
  }
}
