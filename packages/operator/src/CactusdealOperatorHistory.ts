import type { Platform } from '@cactusdeal/platform';
import type { LogEntry } from '@cactusdeal/schema';
import { Either, Left } from 'purify-ts';
import { readLogValue } from './CactusdealOperatorCodec.js';
import { getLogKey } from './CactusdealOperatorKeys.js';
import { readManifest, toUnavailable } from './CactusdealOperatorManifest.js';
import type { LoadFailure } from './CactusdealOperatorTypes.js';

export interface HistoryRange {
  /** Only versions below this one; up to the newest that the checkpoint covers when absent. */
  readonly before?: number;
  /** Most entries to answer. */
  readonly limit: number;
}

const MAX_LIMIT = 200;

/** Reads accepted changes, newest first; the list ends where the log has been trimmed. */
export async function readHistory(
  platform: Platform,
  { before, limit }: HistoryRange,
): Promise<Either<LoadFailure, LogEntry[]>> {
  const newest = before === undefined ? await findNewest(platform) : null;
  if (newest?.isLeft()) return Left(newest.extract());
  const last = newest === null ? (before as number) - 1 : newest.unsafeCoerce();
  const count = Math.max(0, Math.min(limit, MAX_LIMIT, last));
  const versions = Array.from({ length: count }, (_, index) => last - index);
  const found = await Promise.all(versions.map((version) => readVersion(platform, version)));
  return Either.sequence(found).map((entries) =>
    entries.filter((entry): entry is LogEntry => entry !== undefined),
  );
}

async function findNewest(platform: Platform): Promise<Either<LoadFailure, number>> {
  const read = await readManifest(platform);
  return read.map(({ manifest }) => manifest.headVersion);
}

async function readVersion(
  platform: Platform,
  version: number,
): Promise<Either<LoadFailure, LogEntry | undefined>> {
  const found = await platform.get(getLogKey(version));
  return found
    .mapLeft(toUnavailable)
    .map((record) => (record === undefined ? undefined : readLogValue(version, record.value)));
}
