import type { Failure } from '@cactusdeal/shared';
import type { Either } from 'purify-ts';
import type { JsonDocument } from './CactusdealRelayDocument.js';
import type { RolloutOrder, RolloutPhase, StorePoint } from './CactusdealRelayRolloutTypes.js';
import type { Member, RelayConfiguration } from './CactusdealRelayTypes.js';

/** Why a request to the platform failed. */
export const PlatformFaultKind = {
  /** The platform refused the request or could not be reached; the request had no effect. */
  NotDone: 'PlatformNotDone',
  /** No answer arrived; the request may have taken effect. */
  Unknown: 'PlatformUnknown',
  /**
   * What was requested no longer exists: the revision's history was discarded.
   */
  Gone: 'PlatformGone',
  /** The response comes from before a restore of the platform that this daemon knows of. */
  Outdated: 'PlatformOutdated',
} as const;
export type PlatformFaultKind = (typeof PlatformFaultKind)[keyof typeof PlatformFaultKind];

export type PlatformFault = Failure<PlatformFaultKind> & {
  /** Era of the response, if there was one that names it. */
  readonly era?: number;
};

/** Result of reading the configuration from the platform. */
export interface ConfigurationReading {
  /**
   * JSON texts of the configuration, newest first; empty if there is none or nothing has changed.
   */
  readonly sources: readonly string[];
  /** Revision after which the next watch continues. */
  readonly revision: number;
  /** Era in which the revision is valid; absent from a platform that names none. */
  readonly era?: number;
  /** Orders of rollouts that were read with it; undefined if there are none or nothing has changed. */
  readonly orders?: OrderReading | undefined;
}

/** Registered daemons. */
export interface MemberListing {
  readonly members: readonly Member[];
  /** Era of the platform; `NO_ERA` from one that names none. */
  readonly era: number;
}

/** Orders of rollouts in the store. */
export interface OrderReading {
  readonly orders: readonly RolloutOrder[];
  /** Point of the store's history at which they were current. */
  readonly point: StorePoint;
  /** Whether these are all orders, not only those that have changed. */
  readonly isComplete: boolean;
}

/** Source of accepted configurations. */
export interface ConfigurationSource {
  /** Reads the current configuration. */
  read(): Promise<Either<PlatformFault, ConfigurationReading>>;
  /** Waits up to `waitMs` for changes after the revision; fails when `signal` aborts. */
  watch(
    revision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Either<PlatformFault, ConfigurationReading>>;
  /** Decodes and validates a configuration; the failure says what is wrong. */
  decode(source: string): Either<Failure, RelayConfiguration>;
  /**
   * Does the same for a parsed configuration. Entries of its tables that are those of an earlier one need
   * not be checked again. Optional: without it, every version is decoded from its whole text.
   */
  readonly decodeDocument?: (document: JsonDocument) => Either<Failure, RelayConfiguration>;
}

/** Status of a rollout in the store. */
export interface RolloutStatus {
  readonly targetVersion: string;
  readonly phase: RolloutPhase;
}

/** What the store holds of the rollout of a service. */
export interface RolloutStatusReading {
  /** The order at a point after that of the status; undefined if there is none. */
  readonly order: RolloutOrder | undefined;
  readonly point: StorePoint;
  /** Undefined if there is none or it cannot be read. */
  readonly status: RolloutStatus | undefined;
  /** Revision of the status, 0 if there is none. */
  readonly revision: number;
}

/** Statuses of rollouts in the store. */
export interface RolloutStore {
  /** Reads the status of the service's rollout, then its order. */
  readStatus(service: string): Promise<Either<PlatformFault, RolloutStatusReading>>;
  /** Writes the status if it still has this revision; fails with `NotDone` otherwise. */
  writeStatus(
    service: string,
    status: RolloutStatus,
    revision: number,
  ): Promise<Either<PlatformFault, void>>;
}

/** Registry through which daemons discover one another. */
export interface MemberRegistry {
  /**
   * Writes a daemon's record, which lasts until it is removed or the platform is restored from an older
   * copy; resolves to the era in which it was written.
   */
  register(member: Member): Promise<Either<PlatformFault, number>>;
  /** Removes the records of the daemons with these ids, at most `MAX_REMOVED_MEMBERS`. */
  remove(ids: readonly string[]): Promise<Either<PlatformFault, void>>;
  /** Lists the registered daemons; the list may be some seconds old unless `isFresh`. */
  list(isFresh: boolean): Promise<Either<PlatformFault, MemberListing>>;
}

/** Most records that are removed at once. */
export const MAX_REMOVED_MEMBERS = 16;
