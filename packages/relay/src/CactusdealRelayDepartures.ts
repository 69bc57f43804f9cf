import type { Upstream } from './CactusdealRelayTypes.js';

/**
 * The last departure of each id of one host's upstreams. A departure is a state other than ready of the instances
 * with that id that have started until its `startedAtMs`. The order in which departures are recorded does not matter.
 */
export interface Departures {
  /** Records a departure; false if it, or a later one of its id, is known. */
  record(departure: Upstream): boolean;
  /** The last departure of the instances with this id; undefined if none is known. */
  get(id: string): Upstream | undefined;
  /** The last departure of each id. */
  list(): readonly Upstream[];
}

/**
 * The departures of the upstreams beside other daemons, by the id of the daemon. Daemons tell one another, as one
 * that restarts has forgotten that its own upstream is leaving.
 */
export interface MemberDepartures {
  /** Records that a daemon's upstream is leaving; false if a later departure of its id is known. */
  record(memberId: string, departure: Upstream): boolean;
  /** The last departure of each id of the daemon's upstreams. */
  list(memberId: string): readonly Upstream[];
}

/** Number of ids of one host whose departures are remembered; the oldest is evicted. */
const MAX_IDS = 16;
/** Number of daemons whose departures are remembered; the oldest is evicted. */
const MAX_MEMBERS = 1_000;
/** How final the state of an instance is; no heartbeat undoes a more final one. */
const FINALITY = { ready: 0, draining: 0, leaving: 1, gone: 2 } as const;

export function createDepartures(): Departures {
  const departures = new Map<string, Upstream>();
  return {
    record: (departure) => {
      const known = departures.get(departure.id);
      if (known !== undefined && !isLater(departure, known)) return false;
      setNewest(departures, departure.id, departure, MAX_IDS);
      return true;
    },
    get: (id) => departures.get(id),
    list: () => [...departures.values()],
  };
}

export function createMemberDepartures(): MemberDepartures {
  const members = new Map<string, Departures>();
  return {
    record: (memberId, departure) => {
      const departures = members.get(memberId) ?? createDepartures();
      if (!departures.record(departure)) return false;
      setNewest(members, memberId, departures, MAX_MEMBERS);
      return true;
    },
    list: (memberId) => members.get(memberId)?.list() ?? [],
  };
}

/** Whether a departure is later than another one of the same id, however late the news of it arrives. */
function isLater(next: Upstream, known: Upstream): boolean {
  if (next.startedAtMs !== known.startedAtMs) return next.startedAtMs > known.startedAtMs;
  if (FINALITY[next.state] !== FINALITY[known.state]) return isMoreFinal(next, known);
  return next.sequence > known.sequence;
}

export function isMoreFinal(next: Upstream, known: Upstream): boolean {
  return FINALITY[next.state] > FINALITY[known.state];
}

/** Makes an entry the newest one; evicts the oldest entry above the limit. */
function setNewest<Value>(
  entries: Map<string, Value>,
  key: string,
  value: Value,
  maxEntries: number,
): void {
  entries.delete(key);
  entries.set(key, value);
  const [oldest] = entries.keys();
  if (entries.size > maxEntries && oldest !== undefined) entries.delete(oldest);
}
