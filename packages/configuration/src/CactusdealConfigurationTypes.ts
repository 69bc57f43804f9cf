import type { LogEntry, Snapshot } from '@cactusdeal/schema';
import type { Failure } from '@cactusdeal/shared';
import type { Either } from 'purify-ts';
import type { Stream } from 'most';

/** Why a log entry or a whole snapshot was not put into force. */
export const ApplyFailureKind = {
  /** An entry at or below the head version, or a snapshot at or below the version in force. */
  Older: 'VersionOlder',
  /** The entry is more than one version above the head; those between have to be applied first. */
  Gap: 'VersionGap',
  /**
   * The entry or snapshot does not match the schema, or its result breaks a rule of the
   * configuration, for example by a route to an absent service.
   */
  Invalid: 'VersionInvalid',
  /** The hash of the result differs from the one that the entry or the snapshot's source states. */
  HashMismatch: 'VersionHashMismatch',
} as const;
export type ApplyFailureKind = (typeof ApplyFailureKind)[keyof typeof ApplyFailureKind];

/** The reason why a version was not put into force. */
export type ApplyFailure = Failure<ApplyFailureKind>;

/** A version that this daemon rejected, with the reason; shown to operators. */
export interface Rejection {
  readonly version: number;
  readonly failure: ApplyFailure;
}

/** Holds the snapshot in force. It is only ever replaced as a whole, by one of a higher version. */
export interface ConfigurationHolder {
  /** The snapshot in force. */
  getSnapshot(): Snapshot;
  /** SHA-256 of the snapshot in force, in hexadecimal. */
  getHash(): string;
  /** Highest version seen, in force or rejected; the next entry to fetch is one above it. */
  getHeadVersion(): number;
  /** The most recent rejections, newest last; their number is bounded. */
  getRejections(): readonly Rejection[];
  /**
   * Recent entries above the version up to the head, in order, rejected ones included; undefined
   * when some of them are no longer held. The number of entries held is bounded.
   */
  getEntriesAfter(version: number): readonly LogEntry[] | undefined;
  /** Emits each snapshot after it has come into force. */
  readonly changes: Stream<Snapshot>;
  /**
   * Registers a listener that is called synchronously when a snapshot comes into force. Returns a
   * function that removes it.
   */
  observe(listener: (snapshot: Snapshot) => void): () => void;
  /**
   * Applies an entry to a copy of the snapshot, checks the result's rules and hash, and puts it into
   * force. An entry that fails these checks is rejected as a whole, and the head version rises to
   * it. An entry that does not match the schema, or whose version is not the one after the head,
   * leaves the head version unchanged.
   */
  applyEntry(entry: LogEntry): Either<ApplyFailure, Snapshot>;
  /**
   * Puts a whole snapshot from a peer or a checkpoint into force. `hash` is the one that its source
   * states, in hexadecimal.
   */
  replaceSnapshot(snapshot: Snapshot, hash: string): Either<ApplyFailure, Snapshot>;
  /** Removes all listeners, also those of the stream; nothing is emitted afterwards. */
  close(): void;
}
