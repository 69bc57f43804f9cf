import { createValidator, type LogEntry, type Snapshot } from '@cactusdeal/schema';
import { createChannel, createSilentLog, type Log } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { createRecentEntries } from './CactusdealConfigurationEntries.js';
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
const MAX_FAULTS_NAMED = 5;

const checkEntry = createValidator<LogEntry>('configuration#/definitions/LogEntry');
const checkSnapshot = createValidator<Snapshot>('configuration#/definitions/Snapshot');

export interface ConfigurationHolderOptions {
  readonly log?: Log;
}

/** Creates a holder whose snapshot is the empty one of version 0. */
export function createConfigurationHolder(
  options: ConfigurationHolderOptions = {},
): ConfigurationHolder {
  const log = options.log ?? createSilentLog();
  const channel = createChannel<Snapshot>();
  const recent = createRecentEntries();
  let snapshot = createEmptySnapshot();
  let headVersion = 0;
  let rejections: readonly Rejection[] = [];

  return {
    getSnapshot: () => snapshot,
    getHash: () => hashSnapshot(snapshot),
    getHeadVersion: () => headVersion,
    getRejections: () => rejections,
    getEntriesAfter: (version) => recent.getAfter(version, headVersion),
    changes: channel.stream,
    observe: channel.observe,
    applyEntry,
    replaceSnapshot,
    close: channel.close,
  };

  function applyEntry(entry: LogEntry): Either<ApplyFailure, Snapshot> {
    const order = checkOrder(entry, headVersion);
    if (order !== undefined) return Left(order);
    headVersion = entry.version;
    recent.append(entry);
    return buildResult(snapshot, entry).ifLeft(reject).ifRight(swap);

    function reject(failure: ApplyFailure): void {
      rejections = [...rejections, { version: entry.version, failure }].slice(-MAX_REJECTIONS);
      const { kind, message } = failure;
      log.warn('version-rejected', { version: entry.version, kind, message });
    }
  }

  function replaceSnapshot(next: Snapshot, hash: string): Either<ApplyFailure, Snapshot> {
    const checked = checkReplacement(next, hash, snapshot.version);
    return checked.ifRight((accepted) => {
      recent.clear();
      headVersion = Math.max(headVersion, accepted.version);
      swap(accepted);
    });
  }

  function swap(next: Snapshot): void {
    snapshot = next;
    log.info('version-in-force', { version: next.version });
    channel.push(next);
  }
}

/** Entries come in the order of their versions; an earlier or later one changes nothing. */
function checkOrder(entry: LogEntry, headVersion: number): ApplyFailure | undefined {
  const shape = checkEntry(entry);
  if (shape.isLeft()) {
    return { kind: ApplyFailureKind.Invalid, message: shape.extract().message };
  }
  if (entry.version <= headVersion) {
    const message = `version ${entry.version} is not above ${headVersion}`;
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
    return refuse(`its base is version ${entry.baseVersion}, in force is ${base.version}`);
  }
  hashSnapshot(base);
  return applyOperations(base, entry.operations, entry.version)
    .chain((result) => refuseFaults(result, findAffectedServices(entry.operations)))
    .chain((result) => refuseOtherHash(result, entry.hash));
}

function checkReplacement(
  next: Snapshot,
  hash: string,
  versionInForce: number,
): Either<ApplyFailure, Snapshot> {
  const shape = checkSnapshot(next);
  if (shape.isLeft()) return refuse(shape.extract().message);
  if (next.version <= versionInForce) {
    const message = `version ${next.version} is not above ${versionInForce}`;
    return Left({ kind: ApplyFailureKind.Older, message });
  }
  return refuseFaults(next).chain((result) => refuseOtherHash(result, hash));
}

function refuseFaults(
  result: Snapshot,
  scope?: ReadonlySet<string>,
): Either<ApplyFailure, Snapshot> {
  const faults = validateSnapshot(result, scope);
  if (faults.length === 0) return Right(result);
  const named = faults
    .slice(0, MAX_FAULTS_NAMED)
    .map((fault) => `${fault.kind}: ${fault.subject}: ${fault.message}`);
  const more = faults.length > named.length ? [`and ${faults.length - named.length} more`] : [];
  return refuse([...named, ...more].join('; '));
}

function refuseOtherHash(result: Snapshot, hash: string): Either<ApplyFailure, Snapshot> {
  const found = hashSnapshot(result);
  if (found === hash) return Right(result);
  const message = `the result's hash is ${found}, stated was ${hash}`;
  return Left({ kind: ApplyFailureKind.HashMismatch, message });
}

function refuse(message: string): Either<ApplyFailure, never> {
  return Left({ kind: ApplyFailureKind.Invalid, message });
}
