import type { Clock, Log } from '@cactusdeal/shared';
import type { GateView } from './CactusdealRelayBalancer.js';
import { createPeer, type Peer, SILENCE_CHECK_MS } from './CactusdealRelayPeer.js';
import type { Member } from './CactusdealRelayTypes.js';
import type { VersionUpdate } from './CactusdealRelayVersionHistory.js';
import type { Status } from './CactusdealRelayWire.js';

/** The other daemons that this one knows, each with an outgoing link to it. */
export interface Members {
  /** Adds a daemon, or replaces it if its address has changed. */
  add(member: Member): void;
  /**
   * Applies the complete list of registered daemons; removes those that are neither listed nor
   * connected.
   */
  replace(listed: readonly Member[]): void;
  find(id: string): Peer | undefined;
  list(): readonly Peer[];
  /** Lists the gates of the service in the own data centre (local) or in all others. */
  listGates(query: GateQuery, isLocal: boolean): readonly GateView[];
  countConnected(): number;
  close(): void;
}

/** The service of the gates to list, and the call for which they are compared. */
export interface GateQuery {
  readonly service: string;
  /** Kind of the call. */
  readonly kind: string;
  /**
   * Upper bound of the service-time estimate at a gate without samples of the kind, in
   * milliseconds.
   */
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
  // One timer for all links, so that the process is not woken once for each.
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
        if (peer.getService() !== service || isLocalPeer(peer) !== isLocal) return;
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

  function isLocalPeer({ member }: Peer): boolean {
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
