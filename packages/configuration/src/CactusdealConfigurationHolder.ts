import { createValidator, type LogEntry, type Snapshot } from '@cactusdeal/schema';
import { createChannel, createSilentLog, type Log } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { createRecentEntries } from './CactusdealConfigurationRecentEntries.js';
import { hashSnapshot } from './CactusdealConfigurationHash.js';
import { applyOperations, createEmptySnapshot } from './CactusdealConfigurationSnapshot.js';
import {
  type ApplyFailure,
  ApplyFailureKind,
  type ConfigurationHolder,
  type Rejection,
} from './CactusdealConfigurationTypes.js';
import { findAffectedServices, validateSnapshot } from './CactusdealConfigurationValidation.js';

const MAX_REJECTIONS = 32;
const MAX_REPORTED_VIOLATIONS = 5;

const validateEntry = createValidator<LogEntry>('configuration#/definitions/LogEntry');
const validateSnapshotShape = createValidator<Snapshot>('configuration#/definitions/Snapshot');

export interface ConfigurationHolderOptions {
  readonly log?: Log;
}

/** Creates a holder with the empty snapshot of version 0 in force. */
export function createConfigurationHolder(
  options: ConfigurationHolderOptions = {},
): ConfigurationHolder {
  const log = options.log ?? createSilentLog();
  const channel = createChannel<Snapshot>();
  const recentEntries = createRecentEntries();
  let snapshot = createEmptySnapshot();
  let headVersion = 0;
  let rejections: readonly Rejection[] = [];

  return {
    getSnapshot: () => snapshot,
    getHash: () => hashSnapshot(snapshot),
    getHeadVersion: () => headVersion,
    getRejections: () => rejections,
    getEntriesAfter: (version) => recentEntries.getAfter(version, headVersion),
    changes: channel.stream,
    observe: channel.observe,
    applyEntry,
    replaceSnapshot,
    close: channel.close,
  };

  function applyEntry(entry: LogEntry): Either<ApplyFailure, Snapshot> {
    const orderFailure = checkOrder(entry, headVersion);
    if (orderFailure !== undefined) return Left(orderFailure);
    headVersion = entry.version;
    recentEntries.append(entry);
    return buildResult(snapshot, entry).ifLeft(recordRejection).ifRight(swapSnapshot);

    function recordRejection(failure: ApplyFailure): void {
      rejections = [...rejections, { version: entry.version, failure }].slice(-MAX_REJECTIONS);
      const { kind, message } = failure;
      log.warn('version-rejected', { version: entry.version, kind, message });
    }
  }

  function replaceSnapshot(next: Snapshot, hash: string): Either<ApplyFailure, Snapshot> {
    const checked = checkReplacement(next, hash, snapshot.version);
    return checked.ifRight((accepted) => {
      recentEntries.clear();
      headVersion = Math.max(headVersion, accepted.version);
      swapSnapshot(accepted);
    });
  }

  function swapSnapshot(next: Snapshot): void {
    snapshot = next;
    log.info('version-in-force', { version: next.version });
    channel.push(next);
  }
}

/** Checks that the entry matches the schema and that its version is the one after the head. */
function checkOrder(entry: LogEntry, headVersion: number): ApplyFailure | undefined {
  const shape = validateEntry(entry);
  if (shape.isLeft()) {
    return { kind: ApplyFailureKind.Invalid, message: shape.extract().message };
  }
  if (entry.version <= headVersion) {
    const message = `version ${entry.version} is not above the head version ${headVersion}`;
    return { kind: ApplyFailureKind.Older, message };
  }
  if (entry.version > headVersion + 1) {
    const message = `version ${entry.version} arrived before version ${headVersion + 1}`;
    return { kind: ApplyFailureKind.Gap, message };
  }
  return undefined;
}

function buildResult(base: Snapshot, entry: LogEntry): Either<ApplyFailure, Snapshot> {
  if (entry.unreadable !== undefined) return refuse(entry.unreadable);
  if (entry.baseVersion !== base.version) {
    return refuse(
      `the entry is based on version ${entry.baseVersion}, but version ${base.version} is in force`,
    );
  }
  // Builds the digest tree of the base, from which the result's is derived.
  hashSnapshot(base);
  return applyOperations(base, entry.operations, entry.version)
    .chain((result) => checkRules(result, findAffectedServices(entry.operations)))
    .chain((result) => checkHash(result, entry.hash));
}

function checkReplacement(
  next: Snapshot,
  hash: string,
  versionInForce: number,
): Either<ApplyFailure, Snapshot> {
  const shape = validateSnapshotShape(next);
  if (shape.isLeft()) return refuse(shape.extract().message);
  if (next.version <= versionInForce) {
    const message = `version ${next.version} is not above version ${versionInForce}, which is in force`;
    return Left({ kind: ApplyFailureKind.Older, message });
  }
  return checkRules(next).chain((result) => checkHash(result, hash));
}

function checkRules(result: Snapshot, scope?: ReadonlySet<string>): Either<ApplyFailure, Snapshot> {
  const violations = validateSnapshot(result, scope);
  if (violations.length === 0) return Right(result);
  const reported = violations
    .slice(0, MAX_REPORTED_VIOLATIONS)
    .map((violation) => `${violation.kind}: ${violation.subject}: ${violation.message}`);
  const more =
    violations.length > reported.length ? [`and ${violations.length - reported.length} more`] : [];
  return refuse([...reported, ...more].join('; '));
}

function checkHash(result: Snapshot, hash: string): Either<ApplyFailure, Snapshot> {
  const found = hashSnapshot(result);
  if (found === hash) return Right(result);
  const message = `the hash of version ${result.version} is ${found}, expected ${hash}`;
  return Left({ kind: ApplyFailureKind.HashMismatch, message });
}

function refuse(message: string): Either<ApplyFailure, never> {
  return Left({ kind: ApplyFailureKind.Invalid, message });
}
