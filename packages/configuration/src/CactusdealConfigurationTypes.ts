import type { LogEntry, Snapshot } from '@cactusdeal/schema';
import type { Failure } from '@cactusdeal/shared';
import type { Either } from 'purify-ts';
import type { Stream } from 'most';

/** Why a log entry or a whole snapshot did not come into force. */
export const ApplyFailureKind = {
  /** At or below the version in force; nothing to do. */
  Older: 'VersionOlder',
  /** It is more than one above the head; the versions between have to be fetched first. */
  Gap: 'VersionGap',
  /** Its result breaks a rule of the configuration, for example a route to an absent service. */
  Invalid: 'VersionInvalid',
  /** Its result differs from what the operator confirmed. */
  HashMismatch: 'VersionHashMismatch',
} as const;
export type ApplyFailureKind = (typeof ApplyFailureKind)[keyof typeof ApplyFailureKind];

/** A version that did not come into force, with the reason. */
export type ApplyFailure = Failure<ApplyFailureKind>;

/** A version that this daemon kept out, as the operator sees it. */
export interface Rejection {
  readonly version: number;
  readonly failure: ApplyFailure;
}

/** What this daemon holds: one snapshot in force, swapped whole, whose version only rises. */
export interface ConfigurationHolder {
  getSnapshot(): Snapshot;
  /** SHA-256 of the snapshot in force, in hexadecimal. */
  getHash(): string;
  /** Highest version seen, in force or rejected; the next entry to ask for is one above. */
  getHeadVersion(): number;
  /** Versions kept out, newest last; bounded. */
  getRejections(): readonly Rejection[];
  /**
   * Recent entries above the version up to the head, in order, rejected ones included; undefined
   * when they are no longer held. Their number is bounded.
   */
  getEntriesAfter(version: number): readonly LogEntry[] | undefined;
  /** Emits each snapshot after it came into force. */
  readonly changes: Stream<Snapshot>;
  /** Registers a listener that runs in the same turn as the swap; returns its removal. */
  observe(listener: (snapshot: Snapshot) => void): () => void;
  /**
   * Applies an entry to a copy, validates the whole, compares the hash, then swaps. An entry that
   * fails is kept out whole and the head rises past it; one that is no entry by the schema, or that
   * comes out of order, leaves the head where it is.
   */
  applyEntry(entry: LogEntry): Either<ApplyFailure, Snapshot>;
  /** Swaps in a whole snapshot from a peer or a checkpoint; `hash` is what its source states. */
  replaceSnapshot(snapshot: Snapshot, hash: string): Either<ApplyFailure, Snapshot>;
  close(): void;
}
