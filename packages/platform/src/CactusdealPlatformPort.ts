import type { Failure } from '@cactusdeal/shared';
import type { Either } from 'purify-ts';

/** Why a platform call has no answer. */
export const PlatformFailureKind = {
  /** The call certainly took no effect: it was refused, or never left this process. */
  NotDone: 'PlatformNotDone',
  /** The call may or may not have taken effect: its answer was lost. */
  Unknown: 'PlatformUnknown',
} as const;
export type PlatformFailureKind = (typeof PlatformFailureKind)[keyof typeof PlatformFailureKind];

/** A platform call without an answer. */
export type PlatformFailure = Failure<PlatformFailureKind>;

/** A value that the platform holds, with the revision that a compare-and-swap names. */
export interface PlatformRecord {
  readonly value: Uint8Array;
  /** Rises with each write of any key; never used twice. */
  readonly revision: number;
}

/** Outcome of a conditional write that the platform answered. */
export type WriteOutcome =
  | { readonly written: true; readonly revision: number }
  /** The condition failed; `current` is what the key holds, undefined when it is absent. */
  | { readonly written: false; readonly current: PlatformRecord | undefined };

/** A lease: keys written under it go when it expires. */
export interface PlatformLease {
  readonly id: string;
  readonly ttlMs: number;
}

/**
 * The platform's key-value service. Keys are printable ASCII up to 256 bytes, values up to 1 MiB.
 * Every method counts as one call, a waiting watch as one. No method throws.
 */
export interface Platform {
  get(key: string): Promise<Either<PlatformFailure, PlatformRecord | undefined>>;
  createIfAbsent(
    key: string,
    value: Uint8Array,
    leaseId?: string,
  ): Promise<Either<PlatformFailure, WriteOutcome>>;
  compareAndSwap(
    key: string,
    expectedRevision: number,
    value: Uint8Array,
    leaseId?: string,
  ): Promise<Either<PlatformFailure, WriteOutcome>>;
  /** Removes the key when its revision is the expected one. */
  remove(key: string, expectedRevision: number): Promise<Either<PlatformFailure, WriteOutcome>>;
  grantLease(ttlMs: number): Promise<Either<PlatformFailure, PlatformLease>>;
  /** Answers false when the lease has expired already. */
  renewLease(leaseId: string): Promise<Either<PlatformFailure, boolean>>;
  revokeLease(leaseId: string): Promise<Either<PlatformFailure, boolean>>;
  /**
   * Waits up to `waitMs` for the key to have a revision above `afterRevision` (0: to exist at all).
   * Answers undefined when the time passed without one.
   */
  watch(
    key: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Either<PlatformFailure, PlatformRecord | undefined>>;
  close(): Promise<void>;
}
