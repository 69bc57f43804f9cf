import type { Failure } from '@cactusdeal/shared';
import type { Either } from 'purify-ts';

/** Why a platform call failed. */
export const PlatformFailureKind = {
  /** The call had no effect: it was refused, or was never sent. */
  NotDone: 'PlatformNotDone',
  /** The call may or may not have taken effect: its answer was lost. */
  Unknown: 'PlatformUnknown',
} as const;
export type PlatformFailureKind = (typeof PlatformFailureKind)[keyof typeof PlatformFailureKind];

/** A failed platform call. */
export type PlatformFailure = Failure<PlatformFailureKind>;

/** A stored value and its revision, which a compare-and-swap expects. */
export interface PlatformRecord {
  readonly value: Uint8Array;
  /** Increases with each write of any key; never reused. */
  readonly revision: number;
}

/** Outcome of a conditional write or removal that the platform answered. */
export type WriteOutcome =
  | { readonly written: true; readonly revision: number }
  /** The condition failed; `current` is the key's present record, undefined when it is absent. */
  | { readonly written: false; readonly current: PlatformRecord | undefined };

/** A lease: keys written under it are removed when it expires or is revoked. */
export interface PlatformLease {
  readonly id: string;
  readonly ttlMs: number;
}

/**
 * The platform's key-value service. Keys are printable ASCII without spaces, up to 256 bytes; values
 * are up to 1 MiB. Each method makes one call, a watch too, however long it waits. No method throws.
 */
export interface Platform {
  /** Reads the key; answers undefined when it is absent. */
  get(key: string): Promise<Either<PlatformFailure, PlatformRecord | undefined>>;
  /** Writes the key if it is absent. */
  createIfAbsent(
    key: string,
    value: Uint8Array,
    leaseId?: string,
  ): Promise<Either<PlatformFailure, WriteOutcome>>;
  /** Replaces the key's value if its revision is the expected one. */
  compareAndSwap(
    key: string,
    expectedRevision: number,
    value: Uint8Array,
    leaseId?: string,
  ): Promise<Either<PlatformFailure, WriteOutcome>>;
  /** Removes the key if its revision is the expected one. */
  remove(key: string, expectedRevision: number): Promise<Either<PlatformFailure, WriteOutcome>>;
  grantLease(ttlMs: number): Promise<Either<PlatformFailure, PlatformLease>>;
  /** Restarts the lease's time; answers false when the lease has already expired. */
  renewLease(leaseId: string): Promise<Either<PlatformFailure, boolean>>;
  /** Ends the lease and removes its keys; answers false when the lease has already expired. */
  revokeLease(leaseId: string): Promise<Either<PlatformFailure, boolean>>;
  /**
   * Waits up to `waitMs` for the key to have a revision above `afterRevision` (0: to exist at all),
   * and answers that record; undefined when the time has passed without one.
   */
  watch(
    key: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Either<PlatformFailure, PlatformRecord | undefined>>;
  close(): Promise<void>;
}
