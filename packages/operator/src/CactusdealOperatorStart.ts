import { createConfigurationHolder } from '@cactusdeal/configuration';
import type { Platform } from '@cactusdeal/platform';
import type { Generation, LogEntry, Manifest, Snapshot } from '@cactusdeal/schema';
import { Either, Left, Right } from 'purify-ts';
import { readLogValue } from './CactusdealOperatorCodec.js';
import { getLogKey } from './CactusdealOperatorKeys.js';
import { readManifest, refuseCorrupt, toUnavailable } from './CactusdealOperatorManifest.js';
import { loadGeneration } from './CactusdealOperatorShards.js';
import { type LoadFailure, LoadFailureKind } from './CactusdealOperatorTypes.js';

/** What a daemon needs to come to the platform's newest version. */
export interface Start {
  /** A whole snapshot; version 0 when the log is short. */
  readonly snapshot: Snapshot;
  readonly hash: string;
  /** Entries above the snapshot, in order without gaps, to apply one after the other. */
  readonly entries: readonly LogEntry[];
}

/** Entries that one start reads from the log behind the manifest. */
const MAX_TAIL_ENTRIES = 256;
const PARALLEL_READS = 16;

/**
 * Loads the newest checkpoint and the log behind it: the manifest, the shards that `known` lacks,
 * then entries until one is absent. Fails at the first call that the platform does not answer.
 */
export async function loadStart(
  platform: Platform,
  known?: Snapshot,
): Promise<Either<LoadFailure, Start>> {
  const read = await readManifest(platform);
  if (read.isLeft()) return Left(read.extract());
  const { manifest } = read.unsafeCoerce();
  const generation = manifest.generations[0] as Generation;
  const [snapshot, tail] = await Promise.all([
    loadGeneration(platform, generation, known),
    readTail(platform, manifest.headVersion),
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
 * Rebuilds the snapshot that a version in force had, from the newest generation at or below it and
 * the log between.
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
    const message = `version ${version} is no longer kept; the oldest is ${oldest}`;
    return Left({ kind: LoadFailureKind.Trimmed, message });
  }
  const [base, entries] = await Promise.all([
    loadGeneration(platform, generation),
    readEntries(platform, manifest, generation.version + 1, version),
  ]);
  return base.chain((snapshot) =>
    entries.chain((list) => applyEntries(snapshot, generation.hash, list, version)),
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

async function readTail(
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
    entries.push(readLogValue(version, record.value));
  }
  return Right(entries);
}

/** Reads a range of entries, from the manifest where it holds them. */
async function readEntries(
  platform: Platform,
  manifest: Manifest,
  from: number,
  through: number,
): Promise<Either<LoadFailure, readonly LogEntry[]>> {
  const entries: LogEntry[] = [];
  for (let version = from; version <= through; version += PARALLEL_READS) {
    const count = Math.min(PARALLEL_READS, through - version + 1);
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
    if (record === undefined) return refuseAbsent(manifest, version);
    return Right(readLogValue(version, record.value));
  });
}

/** Beyond what the checkpoint covers, an absent entry is one that nobody accepted. */
function refuseAbsent(manifest: Manifest, version: number): Either<LoadFailure, never> {
  const message = `the log lacks version ${version}`;
  if (version <= manifest.headVersion) return refuseCorrupt(message);
  return Left({ kind: LoadFailureKind.NeverInForce, message });
}
