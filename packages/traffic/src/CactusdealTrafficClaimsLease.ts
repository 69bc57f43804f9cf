import type { Platform, PlatformFailure } from '@cactusdeal/platform';
import type { Clock } from '@cactusdeal/shared';
import { type Either, Right } from 'purify-ts';

/** Time for which one lease takes new writes. */
const USE_MS = 3_600_000;
/** Age from which a lease is replaced when the platform refuses a write. */
const FORGET_MS = 10_000;

/** Where claim pages get the lease that they are written under. */
export interface LeaseSource {
  get(): Promise<Either<PlatformFailure, string>>;
  /** Told that the platform refused a write: the lease may be gone. */
  forget(): void;
}

/**
 * Creates a source of leases. A lease outlives every key that is written under it by an hour, and
 * is never renewed: the platform then removes the pages.
 */
export function createLeaseSource(
  platform: Platform,
  clock: Clock,
  retentionMs: number,
): LeaseSource {
  const ttlMs = retentionMs + 2 * USE_MS;
  let current: { readonly id: string; readonly untilMs: number } | undefined;
  let asked: Promise<Either<PlatformFailure, string>> | undefined;

  async function fetchLease(): Promise<Either<PlatformFailure, string>> {
    const untilMs = clock() + USE_MS;
    const granted = await platform.grantLease(ttlMs);
    asked = undefined;
    granted.ifRight(({ id }) => {
      current = { id, untilMs };
    });
    return granted.map(({ id }) => id);
  }

  return {
    get: () => {
      if (current !== undefined && clock() < current.untilMs) {
        return Promise.resolve(Right(current.id));
      }
      asked ??= fetchLease();
      return asked;
    },
    forget: () => {
      const grantedAtMs = (current?.untilMs ?? 0) - USE_MS;
      if (clock() - grantedAtMs > FORGET_MS) current = undefined;
    },
  };
}
