import { randomUUID } from 'node:crypto';
import { type Platform, PlatformFailureKind } from '@cactusdeal/platform';
import type { Generation, LogEntry, Manifest, ShardReference, Snapshot } from '@cactusdeal/schema';
import { type Either, Left, Right } from 'purify-ts';
import { encodeValue } from './CactusdealOperatorCodec.js';
import { getShardKey, MANIFEST_KEY } from './CactusdealOperatorKeys.js';
import { type ManifestRecord, readManifest, toUnavailable } from './CactusdealOperatorManifest.js';
import { buildShards, type EncodedShard, encodeShardValue } from './CactusdealOperatorShards.js';
import { removeShards, removeUnreferencedShards, trimLog } from './CactusdealOperatorTrim.js';
import type { LoadFailure } from './CactusdealOperatorTypes.js';

/** The configuration that a checkpoint is written from. */
export interface CheckpointSource {
  /** The snapshot in force. */
  getSnapshot(): Snapshot;
  /** SHA-256 of the snapshot in force, in hexadecimal. */
  getHash(): string;
  /** Highest version seen, in force or rejected. */
  getHeadVersion(): number;
  /** Entries above the version up to the head; undefined when some of them are no longer held. */
  getEntriesAfter(version: number): readonly LogEntry[] | undefined;
}

/** Bounds on what a checkpoint keeps. */
export interface CheckpointLimits {
  /** Log entries after the newest whole snapshot at which the next one is written. */
  readonly entriesPerGeneration: number;
  /** Whole snapshots that are kept; history and reverts reach back to the oldest one. */
  readonly generations: number;
}

/** Result of one write. */
export interface CheckpointReport {
  /** Version of the newest entry that the checkpoint covers, as far as this writer knows. */
  readonly headVersion: number;
  readonly shardsWritten: number;
  /** Shards of the previous generation that the new one refers to as well. */
  readonly shardsReused: number;
}

/** Writes checkpoints. It caches the manifest, so that a write need not read it again. */
export interface CheckpointWriter {
  /**
   * Updates the checkpoint to the head version of the source: appends the new entries to the
   * manifest, or writes a whole snapshot in shards. The manifest is replaced by compare-and-swap. A
   * writer that loses the race changes nothing, since no manifest refers to its shards. Afterwards
   * trims the log up to the oldest snapshot that is kept.
   */
  write(): Promise<Either<LoadFailure, CheckpointReport>>;
}

export const DEFAULT_CHECKPOINT_LIMITS: CheckpointLimits = {
  entriesPerGeneration: 64,
  generations: 16,
};
/**
 * Size of the manifest's entries in bytes above which a new generation is written. It lies far below
 * the platform's limit for one value.
 */
const MAX_MANIFEST_ENTRIES_BYTES = 256 * 1024;

/** A manifest that is built but not yet stored, and the shards that were written for it. */
interface ManifestDraft {
  readonly manifest: Manifest;
  readonly writtenShards: readonly ShardReference[];
  readonly reusedCount: number;
}

/**
 * Undefined when the source no longer holds all entries that the manifest has to contain; a later
 * write tries again.
 */
type DraftResult = Either<LoadFailure, ManifestDraft | undefined>;

/** Creates a writer whose first write reads the manifest. */
export function createCheckpointWriter(
  platform: Platform,
  source: CheckpointSource,
  limits: CheckpointLimits = DEFAULT_CHECKPOINT_LIMITS,
): CheckpointWriter {
  let cachedManifest: ManifestRecord | undefined;
  return { write };

  async function write(): Promise<Either<LoadFailure, CheckpointReport>> {
    const read =
      cachedManifest === undefined ? await readManifest(platform) : Right(cachedManifest);
    if (read.isLeft()) return read;
    const current = read.unsafeCoerce();
    cachedManifest = current;
    if (current.manifest.headVersion >= source.getHeadVersion()) return finishWrite(current);
    const built = await buildManifest(platform, source, current.manifest, limits);
    if (built.isLeft()) return built;
    const draft = built.unsafeCoerce();
    if (draft === undefined) return finishWrite(current);
    const swapped = await swapManifest(platform, current, draft);
    cachedManifest = swapped.orDefault(undefined);
    if (swapped.isLeft()) return swapped;
    return cachedManifest === undefined ? finishWrite(current) : finishWrite(cachedManifest, draft);
  }

  async function finishWrite(
    { manifest }: ManifestRecord,
    draft?: ManifestDraft,
  ): Promise<Either<LoadFailure, CheckpointReport>> {
    await trimLog(platform, manifest.generations.at(-1)?.version ?? 0);
    return Right({
      headVersion: manifest.headVersion,
      shardsWritten: draft?.writtenShards.length ?? 0,
      shardsReused: draft?.reusedCount ?? 0,
    });
  }
}

/** Builds the next manifest: with more entries, or with a new generation once these are too many. */
async function buildManifest(
  platform: Platform,
  source: CheckpointSource,
  current: Manifest,
  limits: CheckpointLimits,
): Promise<DraftResult> {
  const headVersion = source.getHeadVersion();
  const newEntries = source.getEntriesAfter(current.headVersion);
  const newest = current.generations[0] as Generation;
  const hasNewerSnapshot = source.getSnapshot().version > newest.version;
  if (newEntries !== undefined) {
    const entries = [...current.entries, ...newEntries];
    const isBelowEntryLimit = entries.length < limits.entriesPerGeneration;
    const isBelowByteLimit = encodeValue(entries).byteLength <= MAX_MANIFEST_ENTRIES_BYTES;
    if ((isBelowEntryLimit && isBelowByteLimit) || !hasNewerSnapshot) {
      return Right({
        manifest: { ...current, headVersion, entries },
        writtenShards: [],
        reusedCount: 0,
      });
    }
  }
  return hasNewerSnapshot ? buildGeneration(platform, source, current, limits) : Right(undefined);
}

/** Builds a manifest with a new generation; writes only the shards that the newest one lacks. */
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
  const previousShards = new Map(
    current.generations[0]?.shards.map((shard) => [shard.hash, shard]),
  );
  const shards = buildShards(snapshot);
  const missingShards = shards.filter((shard) => !previousShards.has(shard.hash));
  const stored = await writeShards(platform, missingShards);
  return stored.map((written) => {
    const references = new Map([
      ...previousShards,
      ...written.map((shard) => [shard.hash, shard] as const),
    ]);
    const generation: Generation = {
      version: snapshot.version,
      hash,
      shards: shards.map((shard) => references.get(shard.hash) as ShardReference),
    };
    const generations = [generation, ...current.generations].slice(0, limits.generations);
    const manifest = { headVersion, entries: [...entries], generations };
    return { manifest, writtenShards: written, reusedCount: shards.length - missingShards.length };
  });
}

/**
 * Writes shards under keys that are unique to this call, so that removing them after a failure
 * cannot affect another writer.
 */
async function writeShards(
  platform: Platform,
  shards: readonly EncodedShard[],
): Promise<Either<LoadFailure, ShardReference[]>> {
  const writeId = randomUUID();
  const written: ShardReference[] = [];
  for (const shard of shards) {
    const value = encodeShardValue(shard);
    const key = getShardKey(shard.hash, writeId);
    written.push({ key, hash: shard.hash, bytes: value.byteLength });
    const outcome = await platform.createIfAbsent(key, value);
    if (outcome.isLeft()) {
      await removeShards(platform, written);
      return Left(toUnavailable(outcome.extract()));
    }
  }
  return Right(written);
}

/**
 * Replaces the manifest and removes the shards that it no longer refers to. Returns the new record;
 * undefined when another writer replaced the manifest first.
 */
async function swapManifest(
  platform: Platform,
  current: ManifestRecord,
  { manifest, writtenShards }: ManifestDraft,
): Promise<Either<LoadFailure, ManifestRecord | undefined>> {
  const value = encodeValue(manifest);
  const outcome =
    current.revision === 0
      ? await platform.createIfAbsent(MANIFEST_KEY, value)
      : await platform.compareAndSwap(MANIFEST_KEY, current.revision, value);
  if (outcome.isLeft()) {
    const failure = outcome.extract();
    // After any other failure the new manifest may be in place and refer to the shards.
    if (failure.kind === PlatformFailureKind.NotDone) await removeShards(platform, writtenShards);
    return Left(toUnavailable(failure));
  }
  const result = outcome.unsafeCoerce();
  if (!result.written) {
    await removeShards(platform, writtenShards);
    return Right(undefined);
  }
  await removeUnreferencedShards(platform, current.manifest, manifest);
  return Right({ manifest, revision: result.revision });
}
