import { type Log, type Random, waitMs } from '@cactusdeal/shared';
import type { Members } from './CactusdealRelayMembers.js';
import {
  type MemberRegistry,
  type PlatformFault,
  PlatformFaultKind,
} from './CactusdealRelayPorts.js';
import type { Member } from './CactusdealRelayTypes.js';

/** Keeps this daemon registered and its list of the other daemons current. */
export interface Registration {
  /** Registers, renews the lease and lists the others periodically; resolves after `close`. */
  run(members: Members): Promise<void>;
  /** Stops renewing and revokes the lease. */
  close(): Promise<void>;
}

export interface RegistrationOptions {
  readonly self: Member;
  readonly registry: MemberRegistry;
  readonly random: Random;
  readonly log: Log;
}

const LEASE_MS = 30_000;
/** Mean time between renewals; `run` adds jitter. */
const RENEW_INTERVAL_MS = 9_000;
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2_000;

export function createRegistration(options: RegistrationOptions): Registration {
  const { self, registry, random, log } = options;
  const stop = new AbortController();
  let leaseId: string | undefined;
  let backoffMs = MIN_BACKOFF_MS;
  return {
    run,
    close: async () => {
      stop.abort();
      if (leaseId !== undefined) await registry.revoke(leaseId);
    },
  };

  async function run(members: Members): Promise<void> {
    while (!stop.signal.aborted) {
      const isDone =
        leaseId === undefined ? await register(members) : await renew(leaseId, members);
      if (isDone) backoffMs = MIN_BACKOFF_MS;
      const pauseMs = isDone ? RENEW_INTERVAL_MS : backoffMs;
      if (!isDone) backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
      await waitMs(pauseMs * (0.8 + 0.4 * random()), stop.signal);
    }
  }

  async function register(members: Members): Promise<boolean> {
    const registered = await registry.register(self, LEASE_MS);
    if (registered.isLeft()) return logFault('register', registered.swap().unsafeCoerce());
    leaseId = registered.unsafeCoerce();
    log.info('registered', { lease: leaseId });
    return list(members, true);
  }

  async function renew(lease: string, members: Members): Promise<boolean> {
    const renewed = await registry.renew(lease);
    if (renewed.isRight()) return list(members, false);
    const fault = renewed.swap().unsafeCoerce();
    if (fault.kind === PlatformFaultKind.Gone) leaseId = undefined;
    return logFault('renew', fault);
  }

  async function list(members: Members, isFresh: boolean): Promise<boolean> {
    const listed = await registry.list(isFresh);
    if (listed.isLeft()) return logFault('list', listed.swap().unsafeCoerce());
    if (!stop.signal.aborted) members.replace(listed.unsafeCoerce());
    return true;
  }

  function logFault(step: string, { kind, message }: PlatformFault): boolean {
    log.warn('registration-failed', { step, kind, message });
    return false;
  }
}
