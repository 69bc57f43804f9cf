import { createHash } from 'node:crypto';
import type { Operation, Snapshot } from '@cactusdeal/schema';
import { formatCanonical } from './CactusdealConfigurationCanonical.js';

/** Name of the hash's format. It is hashed too, so that hashes of different formats never match. */
const HASH_FORMAT = 'cactusdeal-snapshot-1';
const BUCKET_COUNT = 256;

/**
 * A hash tree of height two over a snapshot: its entries' digests, grouped into buckets by name, and
 * the digest of each bucket. After a change of one entry, only the digests of this entry, its bucket
 * and the root have to be computed again.
 */
interface DigestTree {
  /** Digests of the entries by key, one map for each bucket. */
  readonly entries: readonly ReadonlyMap<string, string>[];
  /** Digest of each bucket; empty text for an empty bucket. */
  readonly buckets: readonly string[];
}

const digestTrees = new WeakMap<Snapshot, DigestTree>();
const snapshotHashes = new WeakMap<Snapshot, string>();

/**
 * Computes the root hash of the snapshot's digest tree: a SHA-256, in hexadecimal. It depends on the
 * version and on the content of the entries, but not on the order of keys. Snapshots are immutable,
 * so the result is cached until the snapshot is garbage-collected.
 */
export function hashSnapshot(snapshot: Snapshot): string {
  const known = snapshotHashes.get(snapshot);
  if (known !== undefined) return known;
  const hash = computeRootDigest(snapshot.version, getDigestTree(snapshot).buckets);
  snapshotHashes.set(snapshot, hash);
  return hash;
}

/**
 * Derives the digest tree of `result` from that of `base`, of which `operations` made it. Does
 * nothing when the tree of `base` has not been computed.
 */
export function updateDigestTree(
  base: Snapshot,
  result: Snapshot,
  operations: readonly Operation[],
): void {
  const baseTree = digestTrees.get(base);
  if (baseTree === undefined) return;
  const changedBuckets = new Map<number, Map<string, string>>();
  operations.forEach((operation) => updateEntryDigest(baseTree, changedBuckets, operation));
  const entries = [...baseTree.entries];
  const buckets = [...baseTree.buckets];
  changedBuckets.forEach((bucket, index) => {
    entries[index] = bucket;
    buckets[index] = computeBucketDigest(bucket);
  });
  digestTrees.set(result, { entries, buckets });
}

function updateEntryDigest(
  tree: DigestTree,
  changedBuckets: Map<number, Map<string, string>>,
  operation: Operation,
): void {
  const { key, value } = toDigestEntry(operation);
  const index = pickBucket(key);
  const bucket = changedBuckets.get(index) ?? new Map(tree.entries[index]);
  changedBuckets.set(index, bucket);
  if (value === undefined) bucket.delete(key);
  else bucket.set(key, computeEntryDigest(key, value));
}

/** Returns the key of the entry that the operation writes, and its value; undefined if removed. */
function toDigestEntry(operation: Operation): { key: string; value: unknown } {
  switch (operation.type) {
    case 'setService':
      return { key: `service/${operation.name}`, value: operation.service };
    case 'setRoute':
      return { key: `route/${operation.name}`, value: operation.route };
    case 'setDrain':
      return { key: `drain/${operation.name}`, value: operation.drain };
    case 'removeService':
      return { key: `service/${operation.name}`, value: undefined };
    case 'removeRoute':
      return { key: `route/${operation.name}`, value: undefined };
    default:
      return { key: `drain/${operation.name}`, value: undefined };
  }
}

function getDigestTree(snapshot: Snapshot): DigestTree {
  const known = digestTrees.get(snapshot);
  if (known !== undefined) return known;
  const tree = buildDigestTree(snapshot);
  digestTrees.set(snapshot, tree);
  return tree;
}

function buildDigestTree(snapshot: Snapshot): DigestTree {
  const entries = Array.from({ length: BUCKET_COUNT }, () => new Map<string, string>());
  const addTable = (kind: string, table: Readonly<Record<string, unknown>>) => {
    Object.keys(table).forEach((name) => {
      const key = `${kind}/${name}`;
      entries[pickBucket(key)]?.set(key, computeEntryDigest(key, table[name]));
    });
  };
  addTable('service', snapshot.services);
  addTable('route', snapshot.routes);
  addTable('drain', snapshot.drains);
  return { entries, buckets: entries.map(computeBucketDigest) };
}

function computeEntryDigest(key: string, value: unknown): string {
  return createHash('sha256')
    .update(`${key}\n${formatCanonical(value)}`)
    .digest('base64');
}

/** Sorts the digests first, since a map iterates in the order of insertion. */
function computeBucketDigest(bucket: ReadonlyMap<string, string>): string {
  if (bucket.size === 0) return '';
  const digests = [...bucket.values()].sort();
  return createHash('sha256').update(digests.join('\n')).digest('base64');
}

function computeRootDigest(version: number, buckets: readonly string[]): string {
  return createHash('sha256')
    .update(`${HASH_FORMAT}\n${version}\n${buckets.join('\n')}`)
    .digest('hex');
}

/**
 * Picks a bucket by the 32-bit FNV-1a hash of the key's UTF-16 code units:
 * http://www.isthe.com/chongo/tech/comp/fnv/
 */
function pickBucket(key: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < key.length; index += 1) {
    // eslint-disable-next-line no-bitwise -- the function is defined on 32-bit words
    hash = Math.imul(hash ^ key.charCodeAt(index), 0x01000193);
  }
  // eslint-disable-next-line no-bitwise -- makes the word unsigned
  return (hash >>> 0) % BUCKET_COUNT;
}
