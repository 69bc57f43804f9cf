import { type Clock, type Log, type Random, waitMs } from '@cactusdeal/shared';
import type { Members } from './CactusdealRelayMembers.js';
import type { MemberRegistry, PlatformFault } from './CactusdealRelayPorts.js';
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
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
}

/**
 * Pause after a list without this daemon's record: it is too old to hold the daemons that have started
 * together with this one.
 */
const EARLY_LIST_PAUSE_MS = 2_000;
/** Mean time between other lists; `run` adds jitter. Links bring the news that is urgent. */
const LIST_INTERVAL_MS = 30_000;
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
 * calls that are served.
 */
export function createRegistration(options: RegistrationOptions): Registration {
  const { self, registry, clock, random, log } = options;
  const stop = new AbortController();
  let registeredAtMs: number | undefined;
  let isListed = false;
  let backoffMs = MIN_BACKOFF_MS;
  return {
    run,
    update,
    close: async () => {
      stop.abort();
      if (registeredAtMs !== undefined) await registry.remove([self.id]);
    },
  };

  async function run(members: Members): Promise<void> {
    while (!stop.signal.aborted) {
      const isDone = await update(members);
      if (isDone) backoffMs = MIN_BACKOFF_MS;
      const listPauseMs = isListed ? LIST_INTERVAL_MS : EARLY_LIST_PAUSE_MS;
      const pauseMs = isDone ? listPauseMs : backoffMs;
      if (!isDone) backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
      await waitMs(pauseMs * (0.8 + 0.4 * random()), stop.signal);
    }
  }

  async function update(members: Members): Promise<boolean> {
    const listed = await registry.list();
    if (listed.isLeft()) return logFault('list', listed.swap().unsafeCoerce());
    if (stop.signal.aborted) return true;
    const registered = listed.unsafeCoerce();
    members.replace(registered);
    if (!(await registerIfMissing(registered))) return false;
    return removeLost(members);
  }

  /** Another daemon may have removed the record while this one was cut off. */
  async function registerIfMissing(registered: readonly Member[]): Promise<boolean> {
    isListed = registered.some(({ id, address }) => id === self.id && address === self.address);
    const isRecent = registeredAtMs !== undefined && clock() - registeredAtMs < MAX_LIST_AGE_MS;
    if (isListed || isRecent) {
      registeredAtMs ??= clock();
      return true;
    }
    const written = await registry.register(self);
    if (written.isLeft()) return logFault('register', written.swap().unsafeCoerce());
    registeredAtMs = clock();
    log.info('registered');
    return true;
  }

  /** Removes the records of daemons that were lost without a stop, if that is this one's part. */
  async function removeLost(members: Members): Promise<boolean> {
    const lostIds = members.listLost(LOST_AFTER_MS);
    if (lostIds.length === 0) return true;
    const removed = await registry.remove(lostIds);
    if (removed.isLeft()) return logFault('remove', removed.swap().unsafeCoerce());
    log.info('lost-members-removed', { members: lostIds.join(' ') });
    return true;
  }

  function logFault(step: string, { kind, message }: PlatformFault): boolean {
    log.warn('registration-failed', { step, kind, message });
    return false;
  }
}
