import type { Platform } from '@cactusdeal/platform';
import type { LogEntry } from '@cactusdeal/schema';
import { Either } from 'purify-ts';
import { readLogValue } from './CactusdealOperatorCodec.js';
import { getLogKey } from './CactusdealOperatorKeys.js';
import { readManifest, toUnavailable } from './CactusdealOperatorManifest.js';
import { readTrimMark } from './CactusdealOperatorTrim.js';
import type { LoadFailure } from './CactusdealOperatorTypes.js';

export interface HistoryRange {
  /** Only versions below this one; up to the newest that the checkpoint covers when absent. */
  readonly before?: number;
  /** Most entries to answer. */
  readonly limit: number;
}

const MAX_LIMIT = 200;

/** Reads accepted changes, newest first, as far back as the log is kept. */
export async function readHistory(
  platform: Platform,
  { before, limit }: HistoryRange,
): Promise<Either<LoadFailure, LogEntry[]>> {
  const [manifest, trim] = await Promise.all([
    before === undefined ? readManifest(platform) : undefined,
    readTrimMark(platform),
  ]);
  if (manifest?.isLeft()) return manifest;
  if (trim.isLeft()) return trim;
  const last = (before ?? (manifest?.unsafeCoerce().manifest.headVersion ?? 0) + 1) - 1;
  const { trimmedThrough } = trim.unsafeCoerce().mark;
  const count = Math.max(0, Math.min(limit, MAX_LIMIT, last - trimmedThrough));
  const versions = Array.from({ length: count }, (_, index) => last - index);
  const found = await Promise.all(versions.map((version) => readVersion(platform, version)));
  return Either.sequence(found).map((entries) =>
    entries.filter((entry): entry is LogEntry => entry !== undefined),
  );
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
