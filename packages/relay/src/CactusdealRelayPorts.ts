import type { Failure } from '@cactusdeal/shared';
import type { Either } from 'purify-ts';
import type { Member, RelayConfiguration } from './CactusdealRelayTypes.js';

/** Why the platform gave no result. */
export const PlatformFaultKind = {
  /** It refused, or could not be reached; nothing was done. */
  NotDone: 'PlatformNotDone',
  /** No answer came; it may have been done. */
  Unknown: 'PlatformUnknown',
  /** It no longer holds what was asked for: a lease that ended, a history that was discarded. */
  Gone: 'PlatformGone',
} as const;
export type PlatformFaultKind = (typeof PlatformFaultKind)[keyof typeof PlatformFaultKind];

export type PlatformFault = Failure<PlatformFaultKind>;

/** What the platform held of the configuration when it was asked. */
export interface ConfigurationReading {
  /** Newest first; empty while there is none, or nothing changed. */
  readonly sources: readonly string[];
  /** Where to go on watching. */
  readonly revision: number;
}

/** Where accepted configurations come from. */
export interface ConfigurationSource {
  read(): Promise<Either<PlatformFault, ConfigurationReading>>;
  /** Waits for changes after the revision, for `waitMs` at most. */
  watch(revision: number, waitMs: number): Promise<Either<PlatformFault, ConfigurationReading>>;
  /** Decodes and checks a configuration; its failure says what is wrong. */
  decode(source: string): Either<Failure, RelayConfiguration>;
}

/** Where daemons find one another. */
export interface MemberRegistry {
  /** Registers a daemon for as long as the lease that it gets is renewed. */
  register(member: Member, leaseMs: number): Promise<Either<PlatformFault, string>>;
  renew(leaseId: string): Promise<Either<PlatformFault, void>>;
  /** Gives the lease back, so that the daemon is no longer listed. */
  revoke(leaseId: string): Promise<Either<PlatformFault, void>>;
  /** Lists the daemons; may be some seconds old when `isFresh` is false. */
  list(isFresh: boolean): Promise<Either<PlatformFault, readonly Member[]>>;
}
