import type { Member } from './CactusdealRelayTypes.js';

/** A known daemon, as far as the choice of links depends on it. */
export interface LinkCandidate {
  readonly member: Member;
  readonly state: LinkState;
}

/** State of the link to a known daemon. */
export const LinkState = {
  /** There is no link and none is being opened. */
  None: 'none',
  /** The link is open, or its first attempts to connect have not failed for long. */
  Usable: 'usable',
  /** Connecting has failed for some time. */
  Failing: 'failing',
  /** The link is open, but the gate's version has been replaced, so that it gets no calls. */
  Replaced: 'replaced',
} as const;
export type LinkState = (typeof LinkState)[keyof typeof LinkState];

/** Most gates of each service in the own data centre to which a daemon keeps links. */
const LOCAL_GATES_PER_SERVICE = 32;
/** Most gates of each service in each other data centre to which a daemon keeps links. */
const REMOTE_GATES_PER_SERVICE = 3;
/** Daemons of the own data centre, lowest ids first, that every daemon of it is linked to. */
const LOWEST_IDS = 6;
/** Daemons of each data centre, lowest ids first, that exchange sums of quotas with those of the others. */
const QUOTA_LINKED_IDS = 2;

/**
 * Chooses the daemons to which `self` keeps links; returns their ids.
 *
 * Load pattern: a fleet in which links to all others would cost each daemon memory, reports and
 * connections in proportion to its size. A call needs a choice among a few gates of each service in
 * each data centre, so the number of links depends on services and data centres only. Each daemon
 * ranks the others by a hash of both ids, which spreads the links of all daemons over all gates.
 * Usable links are kept, so that a newcomer moves no link; a failing or replaced one is kept as well but
 * does not count, so that another gate takes its place. While organisations have quotas (`hasQuotas`), the lowest ids
 * of each data centre keep links to those of the others in addition.
 */
export function chooseLinks(
  self: Member,
  candidates: readonly LinkCandidate[],
  hasQuotas = false,
): ReadonlySet<string> {
  const chosen = new Set<string>();
  if (hasQuotas) listQuotaIds(self, candidates).forEach((id) => chosen.add(id));
  listLowestIds(self, candidates).forEach((id) => chosen.add(id));
  groupByService(candidates).forEach((group) => {
    const isLocal = group[0]?.member.dataCentre === self.dataCentre;
    const limit = isLocal ? LOCAL_GATES_PER_SERVICE : REMOTE_GATES_PER_SERVICE;
    pickFromGroup(self, group, limit).forEach((id) => chosen.add(id));
  });
  return chosen;
}

/** The daemons of the own data centre from which its readers come. */
function listLowestIds(self: Member, candidates: readonly LinkCandidate[]): readonly string[] {
  return candidates
    .filter(({ member }) => member.dataCentre === self.dataCentre)
    .filter(({ state }) => state !== LinkState.Failing)
    .map(({ member }) => member.id)
    .sort()
    .slice(0, LOWEST_IDS);
}

/** The lowest ids of the other data centres, for a daemon that is among the lowest of its own. */
function listQuotaIds(self: Member, candidates: readonly LinkCandidate[]): readonly string[] {
  const lowerIds = listLowestIds(self, candidates).filter((id) => id < self.id);
  if (lowerIds.length >= QUOTA_LINKED_IDS) return [];
  const remote = candidates
    .filter(({ member }) => member.dataCentre !== self.dataCentre)
    .filter(({ state }) => state !== LinkState.Failing)
    .map(({ member }) => member)
    .sort((left, right) => (left.id < right.id ? -1 : 1));
  const counts = new Map<string, number>();
  return remote
    .filter(({ dataCentre }) => {
      const count = (counts.get(dataCentre) ?? 0) + 1;
      counts.set(dataCentre, count);
      return count <= QUOTA_LINKED_IDS;
    })
    .map(({ id }) => id);
}

/** Groups by data centre and service. */
function groupByService(candidates: readonly LinkCandidate[]): readonly LinkCandidate[][] {
  const groups = new Map<string, LinkCandidate[]>();
  candidates.forEach((candidate) => {
    const { dataCentre, service } = candidate.member;
    const key = `${dataCentre}\n${service}`;
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [candidate]);
    else group.push(candidate);
  });
  return [...groups.values()];
}

function pickFromGroup(
  self: Member,
  group: readonly LinkCandidate[],
  limit: number,
): readonly string[] {
  const listIds = (state: LinkState): string[] =>
    group.filter((candidate) => candidate.state === state).map(({ member }) => member.id);
  const usable = listByHash(self.id, listIds(LinkState.Usable)).slice(0, limit);
  const missing = limit - usable.length;
  const added = missing > 0 ? listByHash(self.id, listIds(LinkState.None)).slice(0, missing) : [];
  const uncounted = [...listIds(LinkState.Failing), ...listIds(LinkState.Replaced)];
  return [...usable, ...added, ...uncounted.slice(0, limit)];
}

function listByHash(selfId: string, ids: readonly string[]): string[] {
  if (ids.length < 2) return [...ids];
  return ids
    .map((id) => ({ id, rank: computeHash(`${selfId}\n${id}`) }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ id }) => id);
}

const HASH_PRIME = 2_147_483_647;
const HASH_FACTOR = 16_807;

/** Multiplicative hash; the last step spreads ids that differ in their last characters only. */
function computeHash(text: string): number {
  let hash = 1;
  for (let index = 0; index < text.length; index += 1) {
    hash = ((hash + text.charCodeAt(index)) * HASH_FACTOR) % HASH_PRIME;
  }
  return (hash * HASH_FACTOR) % HASH_PRIME;
}
