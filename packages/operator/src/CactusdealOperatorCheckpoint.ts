import { randomUUID } from 'node:crypto';
import { type Platform, PlatformFailureKind } from '@cactusdeal/platform';
import type { Generation, LogEntry, Manifest, ShardReference, Snapshot } from '@cactusdeal/schema';
import { type Either, Left, Right } from 'purify-ts';
import { encodeValue } from './CactusdealOperatorCodec.js';
import { getShardKey, MANIFEST_KEY } from './CactusdealOperatorKeys.js';
import { type ManifestRecord, readManifest, toUnavailable } from './CactusdealOperatorManifest.js';
import { buildShards, type EncodedShard, encodeShardValue } from './CactusdealOperatorShards.js';
import { removeUnreferencedShards, removeShards, trimLog } from './CactusdealOperatorTrim.js';
import type { LoadFailure } from './CactusdealOperatorTypes.js';

/** What a checkpoint is made from. */
export interface CheckpointSource {
  getSnapshot(): Snapshot;
  getHash(): string;
  getHeadVersion(): number;
  /** Entries above the version up to the head; undefined when they are no longer held. */
  getEntriesAfter(version: number): readonly LogEntry[] | undefined;
}

/** Bounds of a checkpoint. */
export interface CheckpointLimits {
  /** Entries behind the newest whole snapshot at which a new one is written. */
  readonly entriesPerGeneration: number;
  /** Whole snapshots that are kept; the oldest bounds history and reverts. */
  readonly generations: number;
}

/** What one turn did. */
export interface CheckpointReport {
  /** Head that the platform's checkpoint covers, as far as this writer knows. */
  readonly headVersion: number;
  /** Shards written, and those of the previous generation that were used again. */
  readonly shardsWritten: number;
  readonly shardsReused: number;
}

/** Writes checkpoints; remembers the manifest, so that a turn need not read it again. */
export interface CheckpointWriter {
  /**
   * Brings the checkpoint up to the head of the source: appends the new entries to the manifest, or
   * writes a whole snapshot in shards, by compare-and-swap. Losing the race changes nothing, since
   * the winner's manifest refers to none of the loser's shards.
   */
  write(): Promise<Either<LoadFailure, CheckpointReport>>;
}

export const DEFAULT_LIMITS: CheckpointLimits = { entriesPerGeneration: 64, generations: 16 };
/** Entries in the manifest beyond this size start a new generation, far below the value limit. */
const MAX_ENTRIES_BYTES = 256 * 1024;

/** A manifest that is about to replace another. */
interface Draft {
  readonly manifest: Manifest;
  readonly written: readonly ShardReference[];
  readonly reused: number;
}

/** Undefined when the source lacks entries that a start would need; a later turn tries again. */
type DraftResult = Either<LoadFailure, Draft | undefined>;

/** Creates a writer that has read nothing yet. */
export function createCheckpointWriter(
  platform: Platform,
  source: CheckpointSource,
  limits: CheckpointLimits = DEFAULT_LIMITS,
): CheckpointWriter {
  let known: ManifestRecord | undefined;
  return { write };

  async function write(): Promise<Either<LoadFailure, CheckpointReport>> {
    const read = known === undefined ? await readManifest(platform) : Right(known);
    if (read.isLeft()) return read;
    const current = read.unsafeCoerce();
    known = current;
    if (current.manifest.headVersion >= source.getHeadVersion()) return finish(current);
    const built = await buildManifest(platform, source, current.manifest, limits);
    if (built.isLeft()) return built;
    const draft = built.unsafeCoerce();
    if (draft === undefined) return finish(current);
    const swapped = await swapManifest(platform, current, draft);
    known = swapped.orDefault(undefined);
    if (swapped.isLeft()) return swapped;
    return known === undefined ? finish(current) : finish(known, draft);
  }

  async function finish(
    { manifest }: ManifestRecord,
    draft?: Draft,
  ): Promise<Either<LoadFailure, CheckpointReport>> {
    await trimLog(platform, manifest.generations.at(-1)?.version ?? 0);
    return Right({
      headVersion: manifest.headVersion,
      shardsWritten: draft?.written.length ?? 0,
      shardsReused: draft?.reused ?? 0,
    });
  }
}

async function buildManifest(
  platform: Platform,
  source: CheckpointSource,
  current: Manifest,
  limits: CheckpointLimits,
): Promise<DraftResult> {
  const headVersion = source.getHeadVersion();
  const added = source.getEntriesAfter(current.headVersion);
  const newest = current.generations[0] as Generation;
  const hasNewer = source.getSnapshot().version > newest.version;
  if (added !== undefined) {
    const entries = [...current.entries, ...added];
    const isShort = entries.length < limits.entriesPerGeneration;
    const isSmall = encodeValue(entries).byteLength <= MAX_ENTRIES_BYTES;
    if ((isShort && isSmall) || !hasNewer) {
      return Right({ manifest: { ...current, headVersion, entries }, written: [], reused: 0 });
    }
  }
  return hasNewer ? buildGeneration(platform, source, current, limits) : Right(undefined);
}

async function buildGeneration(
  platform: Platform,
  source: CheckpointSource,
  current: Manifest,
  limits: CheckpointLimits,
): Promise<DraftResult> {
  const snapshot = source.getSnapshot();
  const hash = source.getHash();
  const headVersion = source.getHeadVersion();
  const entries = source.getEntriesAfter(snapshot.version);
  if (entries === undefined) return Right(undefined);
  const kept = new Map(current.generations[0]?.shards.map((shard) => [shard.hash, shard]));
  const shards = buildShards(snapshot);
  const missing = shards.filter((shard) => !kept.has(shard.hash));
  const stored = await writeShards(platform, missing);
  return stored.map((written) => {
    const references = new Map([...kept, ...written.map((shard) => [shard.hash, shard] as const)]);
    const generation: Generation = {
      version: snapshot.version,
      hash,
      shards: shards.map((shard) => references.get(shard.hash) as ShardReference),
    };
    const generations = [generation, ...current.generations].slice(0, limits.generations);
    const manifest = { headVersion, entries: [...entries], generations };
    return { manifest, written, reused: shards.length - missing.length };
  });
}

/** Each writer's keys are its own, so that removing them can harm no other writer. */
async function writeShards(
  platform: Platform,
  shards: readonly EncodedShard[],
): Promise<Either<LoadFailure, ShardReference[]>> {
  const mark = randomUUID();
  const written: ShardReference[] = [];
  for (const shard of shards) {
    const value = encodeShardValue(shard);
    const key = getShardKey(shard.hash, mark);
    written.push({ key, hash: shard.hash, bytes: value.byteLength });
    const outcome = await platform.createIfAbsent(key, value);
    if (outcome.isLeft()) {
      await removeShards(platform, written);
      return Left(toUnavailable(outcome.extract()));
    }
  }
  return Right(written);
}

/** Answers the new record; undefined when another writer was faster. */
async function swapManifest(
  platform: Platform,
  current: ManifestRecord,
  { manifest, written }: Draft,
): Promise<Either<LoadFailure, ManifestRecord | undefined>> {
  const value = encodeValue(manifest);
  const outcome =
    current.revision === 0
      ? await platform.createIfAbsent(MANIFEST_KEY, value)
      : await platform.compareAndSwap(MANIFEST_KEY, current.revision, value);
  if (outcome.isLeft()) {
    const failure = outcome.extract();
    // After a lost answer the manifest may refer to the shards.
    if (failure.kind === PlatformFailureKind.NotDone) await removeShards(platform, written);
    return Left(toUnavailable(failure));
  }
  const result = outcome.unsafeCoerce();
  if (!result.written) {
    await removeShards(platform, written);
    return Right(undefined);
  }
  await removeUnreferencedShards(platform, current.manifest, manifest);
  return Right({ manifest, revision: result.revision });
}
