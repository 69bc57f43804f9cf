import { type Clock, scheduleTicks } from '@cactusdeal/shared';
import type { Members } from './CactusdealRelayMembers.js';
import type { Member } from './CactusdealRelayTypes.js';
import type { Status } from './CactusdealRelayWire.js';

/** What a daemon has to read from the platform, by the readers of its data centre with lower ids. */
export const ReaderRole = {
  /** Watches with short waits. */
  Primary: 'primary',
  /** Watches with long waits. */
  Standby: 'standby',
  /** Learns new versions from the readers. */
  None: 'none',
} as const;
export type ReaderRole = (typeof ReaderRole)[keyof typeof ReaderRole];

/** Finds out which daemons of a data centre read from the platform. */
export interface ReaderRoles {
  find(members: Members): ReaderRole;
  /**
   * Calls `observe` when the role is not `role` any more; returns a function that ends the watch. There
   * is one watch at a time.
   */
  watch(role: ReaderRole, members: Members, observe: () => void): () => void;
  /** Checks the watched role at once, after another daemon's status or the end of a link. */
  check(): void;
}

/**
 * Daemons of each data centre that watch the platform; the others learn of new versions from them.
 */
const READERS_PER_DATA_CENTRE = 2;
/** Age of a reader's last successful read beyond which it no longer counts as a reader. */
const STALE_READER_MS = 3_600;
/**
 * Longest time in which a daemon detects that it has to become a reader because the statuses of the readers
 * are too old.
 */
const ROLE_CHECK_MS = 250;

/** Whether a daemon with this status reads the platform. */
export function isFreshReader({ platformAgeMs }: Status): boolean {
  return platformAgeMs >= 0 && platformAgeMs < STALE_READER_MS;
}

export function createReaderRoles(self: Member, clock: Clock): ReaderRoles {
  let checkWatched: (() => void) | undefined;
  return { find: (members) => findRole(members, 0), watch, check: () => checkWatched?.() };

  function watch(role: ReaderRole, members: Members, observe: () => void): () => void {
    let timer: NodeJS.Timeout | undefined;
    const check = (): void => {
      clearTimeout(timer);
      if (findRole(members, 0) !== role) observe();
      else if (findRole(members, ROLE_CHECK_MS) !== role) timer = setTimeout(check, ROLE_CHECK_MS);
    };
    const stopTicks = scheduleTicks(1, check);
    checkWatched = check;
    return () => {
      stopTicks();
      clearTimeout(timer);
      checkWatched = undefined;
    };
  }

  /** The role `afterMs` from now if nobody says anything until then. */
  function findRole(members: Members, afterMs: number): ReaderRole {
    const lowerReaders = countLowerReaders(members, clock() + afterMs);
    if (lowerReaders === 0) return ReaderRole.Primary;
    return lowerReaders < READERS_PER_DATA_CENTRE ? ReaderRole.Standby : ReaderRole.None;
  }

  /** Counts the readers of the data centre that have a lower id than this daemon. */
  function countLowerReaders(members: Members, nowMs: number): number {
    const readers = members.list().filter((peer) => {
      if (peer.member.dataCentre !== self.dataCentre || peer.member.id > self.id) return false;
      const status = peer.getStatus();
      if (status === undefined || status.platformAgeMs < 0) return false;
      return status.platformAgeMs + nowMs - status.atMs < STALE_READER_MS;
    });
    return readers.length;
  }
}
