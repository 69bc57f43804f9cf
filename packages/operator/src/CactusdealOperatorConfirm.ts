import {
  type Platform,
  type PlatformFailure,
  PlatformFailureKind,
  type WriteOutcome,
} from '@cactusdeal/platform';
import type { LogEntry, Plan } from '@cactusdeal/schema';
import { type Clock, type Failure, getWallTimeMs, type Random } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { createBackoff } from './CactusdealOperatorBackoff.js';
import {
  decodeLogEntry,
  encodeValue,
  type ParseFailure,
  parsePlan,
} from './CactusdealOperatorCodec.js';
import { getLogKey, getPlanKey } from './CactusdealOperatorKeys.js';
import { readTrimMark } from './CactusdealOperatorTrim.js';
import {
  type Acceptance,
  type ConfirmFailure,
  ConfirmFailureKind,
} from './CactusdealOperatorTypes.js';

const PLAN_LIFETIME_MS = 3_600_000;
const MAX_WRITE_ATTEMPTS = 4;
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 400;

/** Sources of time and randomness, which tests replace. */
export interface ConfirmOptions {
  /** Wall-clock time for the entry's `acceptedAtMs`, in milliseconds since the epoch. */
  readonly clock?: Clock;
  /** Jitter of the waits between attempts to write. */
  readonly random?: Random;
}

/** Stores a plan for one hour, by a lease. Storing the same plan again has no effect. */
export async function storePlan(
  platform: Platform,
  plan: Plan,
): Promise<Either<PlatformFailure, Plan>> {
  const lease = await platform.grantLease(PLAN_LIFETIME_MS);
  if (lease.isLeft()) return Left(lease.extract());
  const { id } = lease.unsafeCoerce();
  const stored = await platform.createIfAbsent(getPlanKey(plan.id), encodeValue(plan), id);
  return stored.map(() => plan);
}

/**
 * Loads a stored plan. Fails with `PlanUnknown` when it does not exist or has expired, and with
 * `PlanUnreadable` when its value does not match the schema.
 */
export async function loadPlan(
  platform: Platform,
  planId: string,
): Promise<Either<ConfirmFailure, Plan>> {
  const found = await platform.get(getPlanKey(planId));
  return found.mapLeft(toNotDoneFailure).chain((record) => {
    if (record === undefined) {
      return refuseWith(
        ConfirmFailureKind.PlanUnknown,
        `plan ${planId} does not exist or has expired; plans are kept for one hour`,
      );
    }
    const toUnreadable = ({ message }: ParseFailure) => ({
      kind: ConfirmFailureKind.PlanUnreadable,
      message,
    });
    return parsePlan(record.value).mapLeft(toUnreadable);
  });
}

/**
 * Confirms a plan: appends its entry to the log, unless another plan's entry has its version
 * already. When the answer to the write is lost, the next attempt finds the entry and compares its
 * plan id. Confirming a plan is therefore idempotent: doing it again returns the same entry.
 */
export async function confirmPlan(
  platform: Platform,
  planId: string,
  operator: string,
  options: ConfirmOptions = {},
): Promise<Either<ConfirmFailure, Acceptance>> {
  const loaded = await loadPlan(platform, planId);
  if (loaded.isLeft()) return Left(loaded.extract());
  const plan = loaded.unsafeCoerce();
  const logGap = await findLogGap(platform, plan.entry.version);
  if (logGap !== undefined) return Left(logGap);
  const acceptedAtMs = (options.clock ?? getWallTimeMs)();
  const entry = { ...plan.entry, operator, acceptedAtMs };
  const written = await appendEntry(platform, entry, options.random ?? Math.random);
  return written.map((accepted) => ({ plan, entry: accepted }));
}

/**
 * Returns a failure when the log lacks the version before this one. Readers fetch the log version by
 * version, so none of them would ever reach an entry behind a gap. If the previous version has been
 * trimmed, the plan is stale.
 */
async function findLogGap(
  platform: Platform,
  version: number,
): Promise<ConfirmFailure | undefined> {
  if (version === 1) return undefined;
  const previous = await platform.get(getLogKey(version - 1));
  if (previous.isLeft()) return toNotDoneFailure(previous.extract());
  if (previous.unsafeCoerce() !== undefined) return undefined;
  const read = await readTrimMark(platform);
  if (read.isLeft()) return toNotDoneFailure(read.extract());
  if (read.unsafeCoerce().mark.trimmedThrough >= version - 1) return buildStaleFailure(version);
  const message = `the platform's log has no entry for version ${version - 1}, which has to precede version ${version}`;
  return { kind: ConfirmFailureKind.LogIncomplete, message };
}

/**
 * Tries to create the entry until an answer tells the outcome, at most `MAX_WRITE_ATTEMPTS` times.
 * A repeated attempt is safe, since an entry that exists already is recognised by its plan id. A
 * failure that rules out any effect ends the loop, unless an earlier attempt may have had one.
 */
async function appendEntry(
  platform: Platform,
  entry: LogEntry,
  random: Random,
): Promise<Either<ConfirmFailure, LogEntry>> {
  const key = getLogKey(entry.version);
  const value = encodeValue(entry);
  const backoff = createBackoff(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, random);
  const { signal } = new AbortController();
  let isOutcomeUnknown = false;
  let lastMessage = '';
  for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
    const outcome = await platform.createIfAbsent(key, value);
    if (outcome.isRight()) return settleOutcome(platform, entry, outcome.unsafeCoerce());
    const failure = outcome.extract() as PlatformFailure;
    isOutcomeUnknown ||= failure.kind === PlatformFailureKind.Unknown;
    lastMessage = failure.message;
    if (!isOutcomeUnknown) return Left(toNotDoneFailure(failure));
    await backoff.wait(signal);
  }
  const message = `it is not known whether plan ${entry.planId} was accepted (${lastMessage}); confirm it again to find out`;
  return refuseWith(ConfirmFailureKind.Unknown, message);
}

/**
 * Derives the result of a confirmation from the answer to its write: the plan is accepted when the
 * key now holds its entry, and stale when the key holds another plan's.
 */
async function settleOutcome(
  platform: Platform,
  entry: LogEntry,
  outcome: WriteOutcome,
): Promise<Either<ConfirmFailure, LogEntry>> {
  if (outcome.written) return checkNotTrimmed(platform, entry, outcome.revision);
  if (outcome.current === undefined) return Left(buildStaleFailure(entry.version));
  const existing = decodeLogEntry(entry.version, outcome.current.value);
  if (existing.planId === entry.planId)
    return checkNotTrimmed(platform, existing, outcome.current.revision);
  const message = `version ${entry.version} was taken by plan ${existing.planId} of operator ${existing.operator}; plan again`;
  return refuseWith(ConfirmFailureKind.PlanStale, message);
}

/**
 * Checks that the key was free because the version was unused, not because its entry had been
 * trimmed. The trim mark is raised before any entry is removed, so reading it after the write is
 * enough to tell the two cases apart. An entry written after the mark was raised is removed again.
 */
async function checkNotTrimmed(
  platform: Platform,
  entry: LogEntry,
  revision: number,
): Promise<Either<ConfirmFailure, LogEntry>> {
  const read = await readTrimMark(platform);
  if (read.isLeft()) {
    const message = `the entry of plan ${entry.planId} was written, but the trim mark could not be read to verify it; confirm it again`;
    return refuseWith(ConfirmFailureKind.Unknown, message);
  }
  const trimRecord = read.unsafeCoerce();
  if (trimRecord.mark.trimmedThrough < entry.version) return Right(entry);
  if (revision < trimRecord.revision) {
    const message = `version ${entry.version} has been trimmed from the log, so it is not known whether plan ${entry.planId} was accepted`;
    return refuseWith(ConfirmFailureKind.Unknown, message);
  }
  await platform.remove(getLogKey(entry.version), revision);
  return Left(buildStaleFailure(entry.version));
}

function buildStaleFailure(version: number): ConfirmFailure {
  const message = `version ${version} is outdated: later versions were accepted and the log was trimmed; plan again`;
  return { kind: ConfirmFailureKind.PlanStale, message };
}

function toNotDoneFailure({ message }: Failure): ConfirmFailure {
  return { kind: ConfirmFailureKind.NotDone, message };
}

function refuseWith(kind: ConfirmFailureKind, message: string): Either<ConfirmFailure, never> {
  return Left({ kind, message });
}
