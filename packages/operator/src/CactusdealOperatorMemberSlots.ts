import type { Platform } from '@cactusdeal/platform';
import type { SlotHolder } from '@cactusdeal/schema';
import { type Clock, type Log, pickRandom, type Random } from '@cactusdeal/shared';
import { getReaderKey, getRosterKey } from './CactusdealOperatorKeys.js';
import {
  parseSlotHolder,
  readSlotHolders,
  type SlotLease,
  startSlotLease,
} from './CactusdealOperatorSlot.js';

/** Reader slots of each data centre; the daemons that hold them watch the platform. */
export const READER_SLOTS = 2;
/** Roster slots of each data centre; a starting daemon joins the mesh through their holders. */
export const ROSTER_SLOTS = 8;

/** Options of a reader or roster slot that a mesh member tries to hold. */
export interface MemberSlotOptions {
  readonly platform: Platform;
  readonly dataCentre: string;
  readonly memberId: string;
  readonly meshAddress: string;
  /** Slots of the data centre; `READER_SLOTS` or `ROSTER_SLOTS` when absent. */
  readonly slots?: number;
  /** Time after which the lease expires unless it is renewed, in milliseconds. */
  readonly leaseMs: number;
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly log: Log;
  readonly random?: Random;
  /**
   * Whether this member should try to take a slot. It decides from its member list alone, without
   * a call to the platform, so that the number of calls stays bounded in a large mesh.
   */
  readonly isCandidate?: () => boolean;
}

/** Starts a task that takes a free reader slot of the data centre and keeps its lease. */
export function createReaderLease(options: MemberSlotOptions): SlotLease {
  const keys = listReaderKeys(options.dataCentre, options.slots);
  return startSlotLease({ ...options, keys, holder: buildSlotHolder(options) });
}

/** Starts a task that takes a free roster slot of the data centre and keeps its lease. */
export function createRosterLease(options: MemberSlotOptions): SlotLease {
  const keys = listRosterKeys(options.dataCentre, options.slots);
  return startSlotLease({ ...options, keys, holder: buildSlotHolder(options) });
}

/** Reads the holders of a data centre's reader slots. */
export function readReaders(
  platform: Platform,
  dataCentre: string,
  slots?: number,
): Promise<SlotHolder[]> {
  return readSlotHolders(platform, listReaderKeys(dataCentre, slots));
}

/** Which roster slots to read, and how many holders to find. */
export interface RosterQuery {
  readonly dataCentre: string;
  /** Number of holders to find; reading ends once there are as many. */
  readonly limit: number;
  readonly slots?: number;
  readonly random?: Random;
}

/**
 * Reads holders of a data centre's roster slots, one slot after the other in random order. Stops at
 * the first failed call and returns what was found until then.
 */
export async function readRoster(platform: Platform, query: RosterQuery): Promise<SlotHolder[]> {
  const keys = listRosterKeys(query.dataCentre, query.slots);
  const holders: SlotHolder[] = [];
  for (const key of pickRandom(keys, keys.length, query.random ?? Math.random)) {
    if (holders.length >= query.limit) break;
    const found = await platform.get(key);
    if (found.isLeft()) break;
    found.ifRight((record) => {
      if (record !== undefined)
        parseSlotHolder(record.value).ifRight((holder) => holders.push(holder));
    });
  }
  return holders;
}

function listReaderKeys(dataCentre: string, slots: number = READER_SLOTS): string[] {
  return Array.from({ length: slots }, (_, slot) => getReaderKey(dataCentre, slot));
}

function listRosterKeys(dataCentre: string, slots: number = ROSTER_SLOTS): string[] {
  return Array.from({ length: slots }, (_, slot) => getRosterKey(dataCentre, slot));
}

function buildSlotHolder({ memberId, meshAddress }: MemberSlotOptions): SlotHolder {
  return { memberId, meshAddress };
}
