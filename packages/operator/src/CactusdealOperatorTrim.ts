import type { Platform } from '@cactusdeal/platform';
import type { Manifest, ShardReference, TrimMark } from '@cactusdeal/schema';
import { type Either, Right } from 'purify-ts';
import { createParser, encodeValue } from './CactusdealOperatorCodec.js';
import { getLogKey, TRIM_KEY } from './CactusdealOperatorKeys.js';
import { refuseCorrupt, toUnavailable } from './CactusdealOperatorManifest.js';
import type { LoadFailure } from './CactusdealOperatorTypes.js';

/** How far the log is trimmed, with the revision of that statement. */
export interface TrimRecord {
  readonly mark: TrimMark;
  /** 0 when the platform holds none yet. */
  readonly revision: number;
}

/** Log entries that one turn removes, so that trimming never crowds out other calls. */
const ENTRIES_PER_TURN = 64;

const parseMark = createParser<TrimMark>('configuration#/definitions/TrimMark');

/**
 * Reads how far the log is trimmed. The mark is raised before any entry goes, so one that was read
 * after an entry tells whether that entry still counts.
 */
export async function readTrimMark(platform: Platform): Promise<Either<LoadFailure, TrimRecord>> {
  const found = await platform.get(TRIM_KEY);
  return found.mapLeft(toUnavailable).chain((record) => {
    if (record === undefined) {
      return Right({ mark: { trimmedThrough: 0, removedThrough: 0 }, revision: 0 });
    }
    const { revision } = record;
    return parseMark(record.value)
      .map((mark) => ({ mark, revision }))
      .chainLeft(({ message }) => refuseCorrupt(`trim mark: ${message}`));
  });
}

/** Removes shards that no manifest refers to. What is left over after a failure does no harm. */
export async function removeShards(
  platform: Platform,
  shards: readonly ShardReference[],
): Promise<void> {
  for (const { key } of shards) await removeKey(platform, key);
}

/** Removes the shards that only `before` referred to. */
export async function removeDropped(
  platform: Platform,
  before: Manifest,
  after: Manifest,
): Promise<void> {
  const kept = new Set(listShards(after).map(({ key }) => key));
  const dropped = listShards(before).filter(({ key }) => !kept.has(key));
  const distinct = new Map(dropped.map((shard) => [shard.key, shard]));
  await removeShards(platform, [...distinct.values()]);
}

/**
 * Raises the trim mark to `wanted`, then removes some of the entries up to it and records how far
 * it came. Running it twice at once is harmless: the mark is swapped, and a key that is gone is
 * passed over.
 */
export async function trimLog(platform: Platform, wanted: number): Promise<void> {
  if (wanted === 0) return;
  const read = await readTrimMark(platform);
  if (read.isLeft()) return;
  const { mark, revision } = read.unsafeCoerce();
  const raised = { ...mark, trimmedThrough: Math.max(mark.trimmedThrough, wanted) };
  const raisedRevision =
    raised.trimmedThrough === mark.trimmedThrough
      ? revision
      : await swapMark(platform, revision, raised);
  if (raisedRevision === undefined) return;
  const through = await removeEntries(platform, raised);
  if (through > mark.removedThrough) {
    await swapMark(platform, raisedRevision, { ...raised, removedThrough: through });
  }
}

/** Answers the last version that is known to be removed. */
async function removeEntries(platform: Platform, mark: TrimMark): Promise<number> {
  const through = Math.min(mark.trimmedThrough, mark.removedThrough + ENTRIES_PER_TURN);
  for (let version = mark.removedThrough + 1; version <= through; version += 1) {
    if (!(await removeKey(platform, getLogKey(version)))) return version - 1;
  }
  return through;
}

/** Answers the new revision; undefined when the mark is not known to be swapped. */
async function swapMark(
  platform: Platform,
  revision: number,
  mark: TrimMark,
): Promise<number | undefined> {
  const value = encodeValue(mark);
  const outcome =
    revision === 0
      ? await platform.createIfAbsent(TRIM_KEY, value)
      : await platform.compareAndSwap(TRIM_KEY, revision, value);
  const result = outcome.orDefault({ written: false, current: undefined });
  return result.written ? result.revision : undefined;
}

/** Answers whether the key is known to be gone. */
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
