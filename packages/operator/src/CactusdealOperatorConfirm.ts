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
  encodeValue,
  type ParseFailure,
  parsePlan,
  readLogValue,
} from './CactusdealOperatorCodec.js';
import { getLogKey, getPlanKey } from './CactusdealOperatorKeys.js';
import { readTrimMark } from './CactusdealOperatorTrim.js';
import {
  type Acceptance,
  type ConfirmFailure,
  ConfirmFailureKind,
} from './CactusdealOperatorTypes.js';

const PLAN_LEASE_MS = 3_600_000;
const WRITE_ATTEMPTS = 4;
const FIRST_WAIT_MS = 50;
const MOST_WAIT_MS = 400;

/** Behaviour of a confirmation that varies. */
export interface ConfirmOptions {
  /** Time that the entry states as its acceptance. */
  readonly clock?: Clock;
  readonly random?: Random;
}

/** Stores a plan for an hour. Storing the same plan again changes nothing. */
export async function storePlan(
  platform: Platform,
  plan: Plan,
): Promise<Either<PlatformFailure, Plan>> {
  const lease = await platform.grantLease(PLAN_LEASE_MS);
  if (lease.isLeft()) return Left(lease.extract());
  const { id } = lease.unsafeCoerce();
  const stored = await platform.createIfAbsent(getPlanKey(plan.id), encodeValue(plan), id);
  return stored.map(() => plan);
}

/** Loads a stored plan. */
export async function loadPlan(
  platform: Platform,
  planId: string,
): Promise<Either<ConfirmFailure, Plan>> {
  const found = await platform.get(getPlanKey(planId));
  return found.mapLeft(toNotDone).chain((record) => {
    if (record === undefined) {
      return refuse(
        ConfirmFailureKind.PlanUnknown,
        `no plan ${planId}; plans are kept for an hour`,
      );
    }
    const unreadable = ({ message }: ParseFailure) => ({
      kind: ConfirmFailureKind.PlanUnreadable,
      message,
    });
    return parsePlan(record.value).mapLeft(unreadable);
  });
}

/**
 * Confirms a plan: appends its entry to the log, unless another change took its version. A lost
 * answer is settled by reading the entry back and comparing the plan's id, so confirming a plan
 * again gives the same acceptance.
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
  const gap = await findGap(platform, plan.entry.version);
  if (gap !== undefined) return Left(gap);
  const acceptedAtMs = (options.clock ?? getWallTimeMs)();
  const entry = { ...plan.entry, operator, acceptedAtMs };
  const written = await appendEntry(platform, entry, options.random ?? Math.random);
  return written.map((accepted) => ({ plan, entry: accepted }));
}

/** An entry after a hole in the log would be out of every reader's reach. */
async function findGap(platform: Platform, version: number): Promise<ConfirmFailure | undefined> {
  if (version === 1) return undefined;
  const before = await platform.get(getLogKey(version - 1));
  if (before.isLeft()) return toNotDone(before.extract());
  if (before.unsafeCoerce() !== undefined) return undefined;
  const read = await readTrimMark(platform);
  if (read.isLeft()) return toNotDone(read.extract());
  if (read.unsafeCoerce().mark.trimmedThrough >= version - 1) return buildStale(version);
  const message = `the platform's log lacks version ${version - 1}`;
  return { kind: ConfirmFailureKind.LogIncomplete, message };
}

/** Writes until an answer settles the outcome; each attempt is idempotent by the plan's id. */
async function appendEntry(
  platform: Platform,
  entry: LogEntry,
  random: Random,
): Promise<Either<ConfirmFailure, LogEntry>> {
  const key = getLogKey(entry.version);
  const value = encodeValue(entry);
  const backoff = createBackoff(FIRST_WAIT_MS, MOST_WAIT_MS, random);
  const { signal } = new AbortController();
  let isUnknown = false;
  let last = '';
  for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt += 1) {
    const outcome = await platform.createIfAbsent(key, value);
    if (outcome.isRight()) return settleOutcome(platform, entry, outcome.unsafeCoerce());
    const failure = outcome.extract() as PlatformFailure;
    isUnknown ||= failure.kind === PlatformFailureKind.Unknown;
    last = failure.message;
    if (!isUnknown) return Left(toNotDone(failure));
    await backoff.wait(signal);
  }
  const message = `the outcome is not known (${last}); confirm plan ${entry.planId} again to settle it`;
  return refuse(ConfirmFailureKind.Unknown, message);
}

/** Tells whose entry the key holds, this plan's or another's. */
async function settleOutcome(
  platform: Platform,
  entry: LogEntry,
  outcome: WriteOutcome,
): Promise<Either<ConfirmFailure, LogEntry>> {
  if (outcome.written) return settleOwn(platform, entry, outcome.revision);
  if (outcome.current === undefined) return Left(buildStale(entry.version));
  const found = readLogValue(entry.version, outcome.current.value);
  if (found.planId === entry.planId) return settleOwn(platform, found, outcome.current.revision);
  const message = `version ${entry.version} is plan ${found.planId} of ${found.operator}; plan again`;
  return refuse(ConfirmFailureKind.PlanStale, message);
}

/**
 * Makes sure that the key was not free because its entry had been trimmed. The mark is raised
 * before any key goes, so a mark read after the write is decisive.
 */
async function settleOwn(
  platform: Platform,
  entry: LogEntry,
  revision: number,
): Promise<Either<ConfirmFailure, LogEntry>> {
  const read = await readTrimMark(platform);
  if (read.isLeft()) {
    const message = `written, but not checked against trimming; confirm plan ${entry.planId} again`;
    return refuse(ConfirmFailureKind.Unknown, message);
  }
  const trim = read.unsafeCoerce();
  if (trim.mark.trimmedThrough < entry.version) return Right(entry);
  if (revision < trim.revision) {
    const message = `version ${entry.version} is trimmed, so its outcome can no longer be told`;
    return refuse(ConfirmFailureKind.Unknown, message);
  }
  await platform.remove(getLogKey(entry.version), revision);
  return Left(buildStale(entry.version));
}

function buildStale(version: number): ConfirmFailure {
  const message = `version ${version} is long past; plan again`;
  return { kind: ConfirmFailureKind.PlanStale, message };
}

function toNotDone({ message }: Failure): ConfirmFailure {
  return { kind: ConfirmFailureKind.NotDone, message };
}

function refuse(kind: ConfirmFailureKind, message: string): Either<ConfirmFailure, never> {
  return Left({ kind, message });
}
