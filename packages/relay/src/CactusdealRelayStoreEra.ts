import type { Log } from '@cactusdeal/shared';

/** Era of a store that names none. */
export const NO_ERA = 0;

/** Where a daemon has an era from. */
export const EraOrigin = { Platform: 'platform', Daemon: 'daemon' } as const;
export type EraOrigin = (typeof EraOrigin)[keyof typeof EraOrigin];

/**
 * The highest era of the store that this daemon knows. The store's era rises by one each time that it
 * comes back from an old copy: what was written since the copy is lost, and revisions are assigned again.
 */
export interface StoreEra {
  get(): number;
  /** Takes note of an era; one that is not higher than the known one changes nothing. */
  record(era: number, origin: EraOrigin): void;
  /** Calls `observe` after each rise of the era. */
  subscribe(observe: (origin: EraOrigin) => void): void;
}

export function createStoreEra(log: Log): StoreEra {
  const observers: ((origin: EraOrigin) => void)[] = [];
  let known = NO_ERA;
  return {
    get: () => known,
    record: (era, origin) => {
      if (era <= known) return;
      const before = known;
      known = era;
      if (before === NO_ERA) log.info('platform-era', { era, origin });
      else log.warn('platform-restored', { era, before, origin });
      observers.forEach((observe) => observe(origin));
    },
    subscribe: (observe) => {
      observers.push(observe);
    },
  };
}

/** Reads an era that another program has written; `NO_ERA` if it is missing or invalid. */
export function parseEra(value: unknown): number {
  return Number.isSafeInteger(value) && (value as number) > NO_ERA ? (value as number) : NO_ERA;
}

/** A revision, with the era of the response that gave it; it means nothing in any other era. */
export interface WatchPosition {
  readonly revision: number;
  readonly era: number;
}

/** What a response of the store means to a reader. */
export const ReadingVerdict = {
  /** The next watch may continue from the response's revision. */
  Continue: 'continue',
  /** The watch was from a revision of another era, and may have missed changes: all is read again. */
  ReadAgain: 'read-again',
  /** The response comes from before a restore that this daemon knows of. */
  Outdated: 'outdated',
} as const;
export type ReadingVerdict = (typeof ReadingVerdict)[keyof typeof ReadingVerdict];

/**
 * Checks what a response of era `responseEra` means to a reader that knows `knownEra` and has watched from
 * `position`; it has read everything if that is undefined.
 *
 * Load pattern: the store comes back from an old copy, once or twice in a row, while some connections
 * still reach it as it was before. A lower era never replaces a higher one, so that such a connection
 * does not stop a reader, or the data centre that relies on it, from following the restored store.
 */
export function checkReading(
  responseEra: number,
  knownEra: number,
  position: WatchPosition | undefined,
): ReadingVerdict {
  if (responseEra < knownEra) return ReadingVerdict.Outdated;
  if (position !== undefined && position.era !== responseEra) return ReadingVerdict.ReadAgain;
  return ReadingVerdict.Continue;
}

/** Whether a watch may be sent from the position. */
export function isPositionUsable(position: WatchPosition, knownEra: number): boolean {
  return position.era === knownEra;
}

/** Watches of a reader by their waits. */
export const WatchKind = {
  /** A plain watch, of a store that names no era. */
  Plain: 'plain',
  /** A watch of a store that may be restored while it waits. */
  Restorable: 'restorable',
  /** A watch that only reads the era. */
  Check: 'check',
} as const;
export type WatchKind = (typeof WatchKind)[keyof typeof WatchKind];

/**
 * Chooses the next watch from a usable position; `isDoubtful` if the last request failed or was cut. The
 * store may have been restored meanwhile, and a watch from a revision that it has assigned again misses
 * changes without an error. Reading everything each time would take hundreds of kilobytes while the store
 * refuses requests.
 */
export function chooseWatch(knownEra: number, isDoubtful: boolean): WatchKind {
  if (knownEra === NO_ERA) return WatchKind.Plain;
  return isDoubtful ? WatchKind.Check : WatchKind.Restorable;
}

/**
 * Whether a daemon's record has to be written again; `confirmedEra` is the era in which it was written or
 * seen last, undefined before that.
 */
export function isRecordLost(confirmedEra: number | undefined, knownEra: number): boolean {
  return confirmedEra !== undefined && confirmedEra < knownEra;
}

/** Shortest time over which all daemons write their records again. */
const MIN_SPREAD_MS = 800;
/** Daemons that write their records in one millisecond; the store takes 1,200 writes a second. */
const WRITES_PER_MS = 1;

/**
 * Computes the time over which `daemons` daemons spread the writes of their records after a restore, in
 * milliseconds.
 */
export function computeSpreadMs(daemons: number): number {
  return Math.max(MIN_SPREAD_MS, daemons / WRITES_PER_MS);
}
