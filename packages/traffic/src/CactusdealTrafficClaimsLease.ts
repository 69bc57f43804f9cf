import type { Platform, PlatformFailure } from '@cactusdeal/platform';
import type { Clock } from '@cactusdeal/shared';
import { type Either, Right } from 'purify-ts';

/** How long a lease is used for new writes before the next one is granted. */
const LEASE_USE_MS = 3_600_000;
/** Minimum age of a lease that is replaced after a refused write. */
const MIN_INVALIDATION_AGE_MS = 10_000;

/** Provides the platform lease that claim pages are written under. */
export interface LeaseSource {
  get(): Promise<Either<PlatformFailure, string>>;
  /** Reports that the platform refused a write, perhaps because the lease is gone. */
  invalidate(): void;
}

/**
 * Creates a source of leases. A lease outlives every key written under it by an hour and is never
 * renewed; when it expires, the platform deletes the pages.
 */
export function createLeaseSource(
  platform: Platform,
  clock: Clock,
  retentionMs: number,
): LeaseSource {
  const ttlMs = retentionMs + 2 * LEASE_USE_MS;
  let current: { readonly id: string; readonly untilMs: number } | undefined;
  let pendingGrant: Promise<Either<PlatformFailure, string>> | undefined;

  async function fetchLease(): Promise<Either<PlatformFailure, string>> {
    const untilMs = clock() + LEASE_USE_MS;
    const granted = await platform.grantLease(ttlMs);
    pendingGrant = undefined;
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
      pendingGrant ??= fetchLease();
      return pendingGrant;
    },
    invalidate: () => {
      const grantedAtMs = (current?.untilMs ?? 0) - LEASE_USE_MS;
      if (clock() - grantedAtMs > MIN_INVALIDATION_AGE_MS) current = undefined;
    },
  };
}
