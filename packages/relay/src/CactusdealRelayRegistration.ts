import { type Clock, type Log, type Random, waitMs } from '@cactusdeal/shared';
import type { Members } from './CactusdealRelayMembers.js';
import {
  type MemberRegistry,
  type PlatformFault,
  PlatformFaultKind,
} from './CactusdealRelayPorts.js';
import {
  computeSpreadMs,
  EraOrigin,
  isRecordLost,
  NO_ERA,
  type StoreEra,
} from './CactusdealRelayStoreEra.js';
import type { Member } from './CactusdealRelayTypes.js';

/** Keeps this daemon registered and its list of the other daemons current. */
export interface Registration {
  /** Registers, then lists the others periodically; resolves after `close`. */
  run(members: Members): Promise<void>;
  /** Lists the others and corrects this daemon's record once; false if the platform fails. */
  update(members: Members): Promise<boolean>;
  /** Stops and removes this daemon from the registry. */
  close(): Promise<void>;
}

export interface RegistrationOptions {
  readonly self: Member;
  readonly registry: MemberRegistry;
  readonly storeEra: StoreEra;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
}

/**
 * Pause after a list without this daemon's record: it is too old to hold the daemons that have started
 * together with this one.
 */
const EARLY_LIST_PAUSE_MS = 2_000;
/** Mean time between other lists; `run` adds jitter. Urgent changes arrive over links. */
const LIST_INTERVAL_MS = 30_000;
/**
 * Pause of a daemon without any link, if the store may come back from an old copy: the list may have been
 * read before the others wrote their records again.
 */
const UNLINKED_LIST_PAUSE_MS = 1_600;
/** Time after a restore in which a list may lack daemons or name old addresses. */
const RESTORED_LIST_MS = 20_000;
/** Greatest age of a list: a record written before it must be in it. */
const MAX_LIST_AGE_MS = 10_000;
/** Time without a link after which a daemon's record is removed on its behalf. */
const LOST_AFTER_MS = 60_000;
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2_000;

/**
 * Creates the registration of one daemon.
 *
 * Load pattern: a fleet that starts at once, and stays registered. A daemon writes its record once
 * and only if it is missing, without a lease to renew, and reads lists that may be old. So the
 * platform is asked for one write a daemon, and for cheap reads whose number does not depend on the
 * calls that are served. After a restore of the platform all records are written again within the time of
 * `computeSpreadMs`, each followed by a fresh list, which finds those that started meanwhile.
 */
export function createRegistration(options: RegistrationOptions): Registration {
  const { self, registry, storeEra, clock, random, log } = options;
  const stop = new AbortController();
  let pause = new AbortController();
  let registeredAtMs: number | undefined;
  /** Era in which the record was written or seen last. */
  let confirmedEra: number | undefined;
  /** Era to which the wait before the record is written again belonged. */
  let spreadEra = NO_ERA;
  let restoredAtMs = -Infinity;
  let hasListed = false;
  let isListed = false;
  let listedCount = 0;
  let backoffMs = MIN_BACKOFF_MS;
  storeEra.subscribe(() => {
    if (isLost()) pause.abort();
  });
  return {
    run,
    update,
    close: async () => {
      stop.abort();
      pause.abort();
      if (registeredAtMs !== undefined) await registry.remove([self.id]);
    },
  };

  async function run(members: Members): Promise<void> {
    while (!stop.signal.aborted) {
      const isDone = await update(members);
      if (isDone) backoffMs = MIN_BACKOFF_MS;
      const pauseMs = isDone ? getListPauseMs(members) : backoffMs;
      if (!isDone) backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
      await waitForNext(pauseMs * (0.8 + 0.4 * random()));
    }
  }

  function getListPauseMs(members: Members): number {
    if (isUnlinked(members)) return UNLINKED_LIST_PAUSE_MS;
    return isListed ? LIST_INTERVAL_MS : EARLY_LIST_PAUSE_MS;
  }

  function isUnlinked(members: Members): boolean {
    return storeEra.get() !== NO_ERA && members.countConnected() === 0;
  }

  /** A restore of the platform ends the pause; this daemon's part of the spread follows. */
  async function waitForNext(pauseMs: number): Promise<void> {
    if (stop.signal.aborted) return;
    pause = new AbortController();
    if (!isSpreadDue()) await waitMs(pauseMs, pause.signal);
    if (!isSpreadDue()) return;
    spreadEra = storeEra.get();
    await waitMs(computeSpreadMs(listedCount) * random(), stop.signal);
  }

  function isSpreadDue(): boolean {
    return isLost() && spreadEra !== storeEra.get();
  }

  function isLost(): boolean {
    return isRecordLost(confirmedEra, storeEra.get());
  }

  async function update(members: Members): Promise<boolean> {
    if (stop.signal.aborted) return true;
    const isRestored = isLost();
    if (isRestored) restoredAtMs = clock();
    if (isRestored && !(await writeRecord())) return false;
    const listed = await registry.list(isRestored || (hasListed && isUnlinked(members)));
    if (listed.isLeft()) return handleFault('list', listed.swap().unsafeCoerce());
    if (stop.signal.aborted) return true;
    hasListed = true;
    const { members: registered, era } = listed.unsafeCoerce();
    storeEra.record(era, EraOrigin.Platform);
    const isIncomplete = isLost() || clock() - restoredAtMs < RESTORED_LIST_MS;
    if (isIncomplete || era < storeEra.get()) members.merge(registered);
    else members.replace(registered);
    if (era < storeEra.get()) return handleFault('list', buildOutdated(era));
    // The record is written after this daemon's part of the spread.
    if (isLost()) return true;
    listedCount = registered.length;
    if (!(await registerIfMissing(registered, era))) return false;
    return removeLost(members);
  }

  /** Another daemon may have removed the record while this one was cut off. */
  async function registerIfMissing(registered: readonly Member[], era: number): Promise<boolean> {
    isListed = registered.some(({ id, address }) => id === self.id && address === self.address);
    const isRecent = registeredAtMs !== undefined && clock() - registeredAtMs < MAX_LIST_AGE_MS;
    if (!isListed && !isRecent) return writeRecord();
    registeredAtMs ??= clock();
    if (isListed) confirmedEra = era;
    return true;
  }

  async function writeRecord(): Promise<boolean> {
    const written = await registry.register(self);
    if (written.isLeft()) return handleFault('register', written.swap().unsafeCoerce());
    registeredAtMs = clock();
    const era = written.unsafeCoerce();
    confirmedEra = era;
    storeEra.record(era, EraOrigin.Platform);
    if (isLost()) return handleFault('register', buildOutdated(era));
    log.info('registered', { era });
    return true;
  }

  /** Removes the records of daemons that were lost without a stop, if that is this one's part. */
  async function removeLost(members: Members): Promise<boolean> {
    const lostIds = members.listLost(LOST_AFTER_MS);
    if (lostIds.length === 0) return true;
    const removed = await registry.remove(lostIds);
    if (removed.isLeft()) return handleFault('remove', removed.swap().unsafeCoerce());
    log.info('lost-members-removed', { members: lostIds.join(' ') });
    return true;
  }

  function buildOutdated(era: number): PlatformFault {
    const message = `era ${era}, known: ${storeEra.get()}`;
    return { kind: PlatformFaultKind.Outdated, message };
  }

  function handleFault(step: string, { kind, message, era = NO_ERA }: PlatformFault): boolean {
    log.warn('registration-failed', { step, kind, message });
    storeEra.record(era, EraOrigin.Platform);
    return false;
  }
}
