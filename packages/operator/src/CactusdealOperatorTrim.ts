import type { Platform } from '@cactusdeal/platform';
import type { Manifest, ShardReference, TrimMark } from '@cactusdeal/schema';
import { type Either, Right } from 'purify-ts';
import { createParser, encodeValue } from './CactusdealOperatorCodec.js';
import { getLogKey, TRIM_MARK_KEY } from './CactusdealOperatorKeys.js';
import { refuseCorrupt, toUnavailable } from './CactusdealOperatorManifest.js';
import type { LoadFailure } from './CactusdealOperatorTypes.js';

/** The trim mark with its revision, which a compare-and-swap needs. */
export interface TrimRecord {
  readonly mark: TrimMark;
  /** 0 when the platform holds no trim mark yet. */
  readonly revision: number;
}

/** Log entries removed by one `trimLog`, so that trimming leaves room for other platform calls. */
const MAX_REMOVED_ENTRIES = 64;

const parseTrimMark = createParser<TrimMark>('configuration#/definitions/TrimMark');

/**
 * Reads the trim mark, which tells how far the log is trimmed. The mark is raised before any entry
 * is removed, so a mark that is read after an entry tells whether that entry is still valid.
 */
export async function readTrimMark(platform: Platform): Promise<Either<LoadFailure, TrimRecord>> {
  const found = await platform.get(TRIM_MARK_KEY);
  return found.mapLeft(toUnavailable).chain((record) => {
    if (record === undefined) {
      return Right({ mark: { trimmedThrough: 0, removedThrough: 0 }, revision: 0 });
    }
    const { revision } = record;
    return parseTrimMark(record.value)
      .map((mark) => ({ mark, revision }))
      .chainLeft(({ message }) => refuseCorrupt(`trim mark: ${message}`));
  });
}

/** Removes shards that no manifest refers to. A shard that remains after a failure only takes space. */
export async function removeShards(
  platform: Platform,
  shards: readonly ShardReference[],
): Promise<void> {
  for (const { key } of shards) await removeKey(platform, key);
}

/** Removes the shards that the replaced manifest refers to and the current one does not. */
export async function removeUnreferencedShards(
  platform: Platform,
  replaced: Manifest,
  current: Manifest,
): Promise<void> {
  const referencedKeys = new Set(listShards(current).map(({ key }) => key));
  const unreferenced = listShards(replaced).filter(({ key }) => !referencedKeys.has(key));
  const distinctShards = new Map(unreferenced.map((shard) => [shard.key, shard]));
  await removeShards(platform, [...distinctShards.values()]);
}

/**
 * Raises the trim mark to `throughVersion`, removes at most `MAX_REMOVED_ENTRIES` entries up to it
 * and records in the mark how far it got; later calls go on from there. Concurrent runs are safe:
 * the mark is replaced by compare-and-swap, and a key that is gone already is skipped. A version of
 * 0 does nothing.
 */
export async function trimLog(platform: Platform, throughVersion: number): Promise<void> {
  if (throughVersion === 0) return;
  const read = await readTrimMark(platform);
  if (read.isLeft()) return;
  const { mark, revision } = read.unsafeCoerce();
  const raisedMark = { ...mark, trimmedThrough: Math.max(mark.trimmedThrough, throughVersion) };
  const raisedRevision =
    raisedMark.trimmedThrough === mark.trimmedThrough
      ? revision
      : await swapTrimMark(platform, revision, raisedMark);
  if (raisedRevision === undefined) return;
  const removedThrough = await removeEntries(platform, raisedMark);
  if (removedThrough > mark.removedThrough) {
    await swapTrimMark(platform, raisedRevision, { ...raisedMark, removedThrough });
  }
}

/** Removes a batch of trimmed entries and returns the last version that is known to be removed. */
async function removeEntries(platform: Platform, mark: TrimMark): Promise<number> {
  const lastVersion = Math.min(mark.trimmedThrough, mark.removedThrough + MAX_REMOVED_ENTRIES);
  for (let version = mark.removedThrough + 1; version <= lastVersion; version += 1) {
    if (!(await removeKey(platform, getLogKey(version)))) return version - 1;
  }
  return lastVersion;
}

/** Replaces the mark; returns its new revision, or undefined when it may not have been replaced. */
async function swapTrimMark(
  platform: Platform,
  revision: number,
  mark: TrimMark,
): Promise<number | undefined> {
  const value = encodeValue(mark);
  const outcome =
    revision === 0
      ? await platform.createIfAbsent(TRIM_MARK_KEY, value)
      : await platform.compareAndSwap(TRIM_MARK_KEY, revision, value);
  const result = outcome.orDefault({ written: false, current: undefined });
  return result.written ? result.revision : undefined;
}

/** Removes a key if it exists; returns whether it is known to be absent now. */
async function removeKey(platform: Platform, key: string): Promise<boolean> {
  const found = await platform.get(key);
  if (found.isLeft()) return false;
  const record = found.unsafeCoerce();
  if (record === undefined) return true;
  const removed = await platform.remove(key, record.revision);
  return removed.map((outcome) => outcome.written).orDefault(false);
}

function listShards(manifest: Manifest): ShardReference[] {
  return manifest.generations.flatMap(({ shards }) => shards);
}
