import type { Platform } from '@cactusdeal/platform';
import type { LogEntry } from '@cactusdeal/schema';
import { Either } from 'purify-ts';
import { decodeLogEntry } from './CactusdealOperatorCodec.js';
import { getLogKey } from './CactusdealOperatorKeys.js';
import { readManifest, toUnavailable } from './CactusdealOperatorManifest.js';
import { readTrimMark } from './CactusdealOperatorTrim.js';
import type { LoadFailure } from './CactusdealOperatorTypes.js';

/** Part of the history to read. */
export interface HistoryRange {
  /** Only versions below this one; when absent, up to the newest that the checkpoint covers. */
  readonly before?: number;
  /** Largest number of entries to return; at most `MAX_HISTORY_LIMIT` are. */
  readonly limit: number;
}

const MAX_HISTORY_LIMIT = 200;

/** Reads log entries, newest first, as far back as the log is not trimmed. */
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
  const lastVersion = (before ?? (manifest?.unsafeCoerce().manifest.headVersion ?? 0) + 1) - 1;
  const { trimmedThrough } = trim.unsafeCoerce().mark;
  const count = Math.max(0, Math.min(limit, MAX_HISTORY_LIMIT, lastVersion - trimmedThrough));
  const versions = Array.from({ length: count }, (_, index) => lastVersion - index);
  const found = await Promise.all(versions.map((version) => readEntry(platform, version)));
  return Either.sequence(found).map((entries) =>
    entries.filter((entry): entry is LogEntry => entry !== undefined),
  );
}

async function readEntry(
  platform: Platform,
  version: number,
): Promise<Either<LoadFailure, LogEntry | undefined>> {
  const found = await platform.get(getLogKey(version));
  return found
    .mapLeft(toUnavailable)
    .map((record) => (record === undefined ? undefined : decodeLogEntry(version, record.value)));
}
