import type { Peer } from './CactusdealRelayPeer.js';
import type { Member } from './CactusdealRelayTypes.js';

/**
 * Lists the daemons with the lowest ids that this one reaches in its data centre, itself among them. The
 * first one coordinates; there is no election, as each daemon has links to the lowest ids.
 */
export function listLeaders(
  self: Member,
  peers: readonly Peer[],
  count: number,
): readonly (Peer | undefined)[] {
  const reachable = peers
    .filter((peer) => peer.isConnected() && peer.member.dataCentre === self.dataCentre)
    .map((peer) => ({ id: peer.member.id, peer }));
  return [...reachable, { id: self.id, peer: undefined }]
    .sort((left, right) => (left.id < right.id ? -1 : 1))
    .slice(0, count)
    .map(({ peer }) => peer);
}

/** Whether this daemon is among the `count` lowest ids that it reaches in its data centre. */
export function isLeader(self: Member, peers: readonly Peer[], count: number): boolean {
  return listLeaders(self, peers, count).includes(undefined);
}
