import { createHash } from 'node:crypto';
import { gunzipSync, gzipSync } from 'node:zlib';
import { formatCanonical, hashSnapshot } from '@cactusdeal/configuration';
import type { Platform } from '@cactusdeal/platform';
import type { Generation, Shard, ShardReference, Snapshot } from '@cactusdeal/schema';
import { Either, Left, Right } from 'purify-ts';
import { createParser, type ParseFailure } from './CactusdealOperatorCodec.js';
import { refuseCorrupt, toUnavailable } from './CactusdealOperatorManifest.js';
import type { LoadFailure } from './CactusdealOperatorTypes.js';

/** One shard of a snapshot, ready to be stored. */
export interface EncodedShard {
  /** SHA-256 of the canonical JSON, in hexadecimal. */
  readonly hash: string;
  /** The canonical JSON. */
  readonly text: string;
}

/**
 * Largest mean length of the shards' JSON, in UTF-16 code units. Compressed, even the largest shard
 * stays far below the platform's limit for one value.
 */
const TARGET_SHARD_TEXT_LENGTH = 1536 * 1024;
/** Bound on the decompressed size of a shard, so that a bad value cannot exhaust memory. */
const MAX_SHARD_TEXT_BYTES = 16 * 1024 * 1024;

const parseShard = createParser<Shard>('configuration#/definitions/Shard');

/**
 * Splits a snapshot into shards by the hash of each entry's name, so that a change of one entry
 * changes one shard. Shards are identified by the hash of their content.
 */
export function buildShards(snapshot: Snapshot, shardCount?: number): EncodedShard[] {
  const count = shardCount ?? countShards(snapshot);
  const shards = Array.from({ length: count }, createEmptyShard);
  const addTable = (table: keyof Shard) => {
    Object.entries(snapshot[table]).forEach(([name, value]) => {
      Object.assign(shards[pickShard(name, count)]?.[table] ?? {}, { [name]: value });
    });
  };
  addTable('services');
  addTable('routes');
  addTable('drains');
  return shards.map(encodeShard);
}

/** Compresses a shard into the value that the platform stores. */
export function encodeShardValue(shard: EncodedShard): Uint8Array {
  return gzipSync(shard.text);
}

/**
 * Loads the snapshot of a generation. Shards that can be rebuilt from the snapshot `known` are not
 * fetched. Fails with `Corrupt` when a shard is missing or a hash differs.
 */
export async function loadGeneration(
  platform: Platform,
  generation: Generation,
  known?: Snapshot,
): Promise<Either<LoadFailure, Snapshot>> {
  const count = generation.shards.length;
  const knownShards = known === undefined || count === 0 ? [] : buildShards(known, count);
  const knownTexts = new Map(knownShards.map(({ hash, text }) => [hash, text]));
  const loadedShards = await Promise.all(
    generation.shards.map((reference) => loadShard(platform, reference, knownTexts)),
  );
  return Either.sequence(loadedShards).chain((shards) => mergeShards(generation, shards));
}

/** Takes a shard from the known texts, or fetches it from the platform. */
async function loadShard(
  platform: Platform,
  reference: ShardReference,
  knownTexts: ReadonlyMap<string, string>,
): Promise<Either<LoadFailure, Shard>> {
  const knownText = knownTexts.get(reference.hash);
  if (knownText !== undefined) return Right(JSON.parse(knownText) as Shard);
  const found = await platform.get(reference.key);
  return found.mapLeft(toUnavailable).chain((record) => {
    if (record === undefined) return refuseCorrupt(`shard ${reference.key} is missing`);
    return decodeShard(reference, record.value);
  });
}

function decodeShard(reference: ShardReference, value: Uint8Array): Either<LoadFailure, Shard> {
  const decompressed = Either.encase(() =>
    gunzipSync(value, { maxOutputLength: MAX_SHARD_TEXT_BYTES }),
  );
  return decompressed
    .mapLeft<ParseFailure>(({ message }) => ({ kind: 'ValueMalformed', message }))
    .chain((bytes) => checkShardHash(bytes, reference))
    .chain((bytes) => parseShard(bytes))
    .chainLeft(({ message }) => refuseCorrupt(`shard ${reference.key}: ${message}`));
}

function checkShardHash(bytes: Buffer, { hash }: ShardReference): Either<ParseFailure, Buffer> {
  if (hashText(bytes) === hash) return Right(bytes);
  return Left({ kind: 'ValueMismatch', message: 'its content does not match its hash' });
}

function mergeShards(
  generation: Generation,
  shards: readonly Shard[],
): Either<LoadFailure, Snapshot> {
  const snapshot: Snapshot = { version: generation.version, ...createEmptyShard() };
  shards.forEach((shard) => {
    Object.assign(snapshot.services, shard.services);
    Object.assign(snapshot.routes, shard.routes);
    Object.assign(snapshot.drains, shard.drains);
  });
  if (hashSnapshot(snapshot) === generation.hash) return Right(snapshot);
  return refuseCorrupt(
    `the shards of version ${generation.version} do not give its hash ${generation.hash}`,
  );
}

function countShards(snapshot: Snapshot): number {
  const { services, routes, drains } = snapshot;
  const { length } = JSON.stringify({ services, routes, drains });
  return Math.max(1, Math.ceil(length / TARGET_SHARD_TEXT_LENGTH));
}

function pickShard(name: string, count: number): number {
  return createHash('sha256').update(name).digest().readUInt32BE(0) % count;
}

function encodeShard(shard: Shard): EncodedShard {
  const text = formatCanonical(shard);
  return { hash: hashText(text), text };
}

function hashText(text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('hex');
}

function createEmptyShard(): Shard {
  return { services: {}, routes: {}, drains: {} };
}
