import type { Platform } from '@cactusdeal/platform';
import type { SlotHolder } from '@cactusdeal/schema';
import { type Clock, type Log, pickRandom, type Random } from '@cactusdeal/shared';
import { getReaderKey, getRosterKey } from './CactusdealOperatorKeys.js';
import {
  parseHolder,
  readHolders,
  type SlotLease,
  startSlotLease,
} from './CactusdealOperatorSlot.js';

/** Readers of the platform in each data centre. */
export const READER_SLOTS = 2;
/** Contacts that a data centre keeps for daemons that start. */
export const ROSTER_SLOTS = 8;

export interface MemberSlotOptions {
  readonly platform: Platform;
  readonly dataCentre: string;
  readonly memberId: string;
  readonly meshAddress: string;
  readonly slots?: number;
  /** Life of the lease without a renewal, in milliseconds. */
  readonly leaseMs: number;
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly log: Log;
  readonly random?: Random;
  /** Whether this member should try for a slot, from membership alone, so that calls stay bounded. */
  readonly isCandidate?: () => boolean;
}

/** Starts to hold one of the data centre's reader slots, when one is free. */
export function createReaderLease(options: MemberSlotOptions): SlotLease {
  const keys = listReaderKeys(options.dataCentre, options.slots);
  return startSlotLease({ ...options, keys, holder: buildHolder(options) });
}

/** Starts to hold one of the data centre's roster slots, when one is free. */
export function createRoster(options: MemberSlotOptions): SlotLease {
  const keys = listRosterKeys(options.dataCentre, options.slots);
  return startSlotLease({ ...options, keys, holder: buildHolder(options) });
}

/** Reads the readers of a data centre. */
export function readReaders(
  platform: Platform,
  dataCentre: string,
  slots?: number,
): Promise<SlotHolder[]> {
  return readHolders(platform, listReaderKeys(dataCentre, slots));
}

export interface RosterRange {
  readonly dataCentre: string;
  /** Contacts that are enough; slots are read one by one, in random order, until they are found. */
  readonly wanted: number;
  readonly slots?: number;
  readonly random?: Random;
}

/** Reads contacts of a data centre; ends at the first call that the platform does not answer. */
export async function readRoster(platform: Platform, range: RosterRange): Promise<SlotHolder[]> {
  const keys = listRosterKeys(range.dataCentre, range.slots);
  const holders: SlotHolder[] = [];
  for (const key of pickRandom(keys, keys.length, range.random ?? Math.random)) {
    if (holders.length >= range.wanted) break;
    const found = await platform.get(key);
    if (found.isLeft()) break;
    found.ifRight((record) => {
      if (record !== undefined) parseHolder(record.value).ifRight((holder) => holders.push(holder));
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

function buildHolder({ memberId, meshAddress }: MemberSlotOptions): SlotHolder {
  return { memberId, meshAddress };
}
