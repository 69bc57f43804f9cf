import { createConfigurationHolder } from '@cactusdeal/configuration';
import type { Platform } from '@cactusdeal/platform';
import type { Generation, LogEntry, Manifest, Snapshot } from '@cactusdeal/schema';
import { Either, Left, Right } from 'purify-ts';
import { decodeLogEntry } from './CactusdealOperatorCodec.js';
import { getLogKey } from './CactusdealOperatorKeys.js';
import { readManifest, refuseCorrupt, toUnavailable } from './CactusdealOperatorManifest.js';
import { loadGeneration } from './CactusdealOperatorShards.js';
import { type LoadFailure, LoadFailureKind } from './CactusdealOperatorTypes.js';

/** Everything that a daemon needs to reach the newest version in the platform. */
export interface LatestConfiguration {
  /** The newest whole snapshot; the empty one of version 0 when none has been written yet. */
  readonly snapshot: Snapshot;
  /** SHA-256 of the snapshot, in hexadecimal, as the manifest states it. */
  readonly hash: string;
  /** Entries after the snapshot, in order and without gaps, to be applied to it. */
  readonly entries: readonly LogEntry[];
}

/** Bound on the entries that one load reads from the log after those in the manifest. */
const MAX_TAIL_ENTRIES = 256;
const MAX_PARALLEL_READS = 16;

/**
 * Loads the newest checkpoint and the log after it: the manifest, the shards that cannot be rebuilt
 * from the snapshot `known`, and log entries until one is absent. Fails with `Unavailable` when a
 * platform call fails, and with `Corrupt` when the stored data is inconsistent.
 */
export async function loadLatestConfiguration(
  platform: Platform,
  known?: Snapshot,
): Promise<Either<LoadFailure, LatestConfiguration>> {
  const read = await readManifest(platform);
  if (read.isLeft()) return Left(read.extract());
  const { manifest } = read.unsafeCoerce();
  const generation = manifest.generations[0] as Generation;
  const [snapshot, tail] = await Promise.all([
    loadGeneration(platform, generation, known),
    readEntriesAfter(platform, manifest.headVersion),
  ]);
  return snapshot.chain((loaded) =>
    tail.map((entries) => ({
      snapshot: loaded,
      hash: generation.hash,
      entries: [...manifest.entries, ...entries],
    })),
  );
}

/**
 * Rebuilds the snapshot of an older version from the newest generation at or below it and the log
 * entries in between. Fails with `Trimmed` when the version is older than the oldest generation, and
 * with `NeverInForce` when it was rejected or never accepted.
 */
export async function loadVersion(
  platform: Platform,
  version: number,
): Promise<Either<LoadFailure, Snapshot>> {
  const read = await readManifest(platform);
  if (read.isLeft()) return Left(read.extract());
  const { manifest } = read.unsafeCoerce();
  const generation = manifest.generations.find((kept) => kept.version <= version);
  if (generation === undefined) {
    const oldest = manifest.generations.at(-1)?.version ?? 0;
    const message = `version ${version} is no longer kept; the oldest version kept is ${oldest}`;
    return Left({ kind: LoadFailureKind.Trimmed, message });
  }
  const [base, entries] = await Promise.all([
    loadGeneration(platform, generation),
    readEntries(platform, manifest, generation.version + 1, version),
  ]);
  return base.chain((snapshot) =>
    entries.chain((loadedEntries) =>
      applyEntries(snapshot, generation.hash, loadedEntries, version),
    ),
  );
}

function applyEntries(
  base: Snapshot,
  hash: string,
  entries: readonly LogEntry[],
  version: number,
): Either<LoadFailure, Snapshot> {
  const holder = createConfigurationHolder();
  if (base.version > 0) holder.replaceSnapshot(base, hash);
  entries.forEach((entry) => holder.applyEntry(entry));
  const snapshot = holder.getSnapshot();
  holder.close();
  if (snapshot.version === version) return Right(snapshot);
  const message = `version ${version} was rejected and never in force`;
  return Left({ kind: LoadFailureKind.NeverInForce, message });
}

/** Reads log entries above the version until one is absent, at most `MAX_TAIL_ENTRIES`. */
async function readEntriesAfter(
  platform: Platform,
  headVersion: number,
): Promise<Either<LoadFailure, readonly LogEntry[]>> {
  const entries: LogEntry[] = [];
  while (entries.length < MAX_TAIL_ENTRIES) {
    const version = headVersion + entries.length + 1;
    const found = await platform.get(getLogKey(version));
    if (found.isLeft()) return found.mapLeft(toUnavailable).map(() => entries);
    const record = found.unsafeCoerce();
    if (record === undefined) break;
    entries.push(decodeLogEntry(version, record.value));
  }
  return Right(entries);
}

/** Reads the entries of the versions `from` to `to`, from the manifest where it holds them. */
async function readEntries(
  platform: Platform,
  manifest: Manifest,
  from: number,
  to: number,
): Promise<Either<LoadFailure, readonly LogEntry[]>> {
  const entries: LogEntry[] = [];
  for (let version = from; version <= to; version += MAX_PARALLEL_READS) {
    const count = Math.min(MAX_PARALLEL_READS, to - version + 1);
    const versions = Array.from({ length: count }, (_, index) => version + index);
    const batch = Either.sequence(
      await Promise.all(versions.map((wanted) => readEntry(platform, manifest, wanted))),
    );
    if (batch.isLeft()) return batch;
    entries.push(...batch.unsafeCoerce());
  }
  return Right(entries);
}

async function readEntry(
  platform: Platform,
  manifest: Manifest,
  version: number,
): Promise<Either<LoadFailure, LogEntry>> {
  const inManifest = manifest.entries.find((entry) => entry.version === version);
  if (inManifest !== undefined) return Right(inManifest);
  const found = await platform.get(getLogKey(version));
  return found.mapLeft(toUnavailable).chain((record) => {
    if (record === undefined) return refuseAbsentEntry(manifest, version);
    return Right(decodeLogEntry(version, record.value));
  });
}

/**
 * Builds the failure for an absent entry. The checkpoint vouches for every entry up to its head
 * version, so one that is absent there was lost; above that, the version was never accepted.
 */
function refuseAbsentEntry(manifest: Manifest, version: number): Either<LoadFailure, never> {
  const message = `the log has no entry for version ${version}`;
  if (version <= manifest.headVersion) return refuseCorrupt(message);
  return Left({ kind: LoadFailureKind.NeverInForce, message });
}
