import { createHash } from 'node:crypto';
import type { Operation, Snapshot } from '@cactusdeal/schema';
import { formatCanonical } from './CactusdealConfigurationCanonical.js';

/** Format of the hash; part of what is hashed, so that two formats never agree by chance. */
const HASH_FORMAT = 'cactusdeal-snapshot-1';
const BUCKET_COUNT = 256;

/**
 * Digests of a snapshot's entries in buckets by name, and the digest of each bucket: a tree of
 * height two. A change of one entry needs its bucket and the root again, nothing else.
 */
interface DigestTree {
  readonly entries: readonly ReadonlyMap<string, string>[];
  readonly buckets: readonly string[];
}

const trees = new WeakMap<Snapshot, DigestTree>();
const hashes = new WeakMap<Snapshot, string>();

/**
 * Computes the SHA-256 of the snapshot's digest tree, in hexadecimal. It depends on the version and
 * on the entries' content, never on the order of keys. Snapshots are not changed once built, so the
 * result is remembered for as long as the snapshot lives.
 */
export function hashSnapshot(snapshot: Snapshot): string {
  const known = hashes.get(snapshot);
  if (known !== undefined) return known;
  const hash = computeRoot(snapshot.version, getTree(snapshot).buckets);
  hashes.set(snapshot, hash);
  return hash;
}

/** Builds the digests of `result` from those of its base, when the base has them already. */
export function updateDigests(
  base: Snapshot,
  result: Snapshot,
  operations: readonly Operation[],
): void {
  const baseTree = trees.get(base);
  if (baseTree === undefined) return;
  const touched = new Map<number, Map<string, string>>();
  operations.forEach((operation) => updateEntry(baseTree, touched, operation));
  const entries = [...baseTree.entries];
  const buckets = [...baseTree.buckets];
  touched.forEach((bucket, index) => {
    entries[index] = bucket;
    buckets[index] = computeBucket(bucket);
  });
  trees.set(result, { entries, buckets });
}

function updateEntry(
  tree: DigestTree,
  touched: Map<number, Map<string, string>>,
  operation: Operation,
): void {
  const { key, value } = toEntry(operation);
  const index = pickBucket(key);
  const bucket = touched.get(index) ?? new Map(tree.entries[index]);
  touched.set(index, bucket);
  if (value === undefined) bucket.delete(key);
  else bucket.set(key, computeEntry(key, value));
}

function toEntry(operation: Operation): { key: string; value: unknown } {
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

function getTree(snapshot: Snapshot): DigestTree {
  const known = trees.get(snapshot);
  if (known !== undefined) return known;
  const tree = buildTree(snapshot);
  trees.set(snapshot, tree);
  return tree;
}

function buildTree(snapshot: Snapshot): DigestTree {
  const entries = Array.from({ length: BUCKET_COUNT }, () => new Map<string, string>());
  const addTable = (kind: string, table: Readonly<Record<string, unknown>>) => {
    Object.keys(table).forEach((name) => {
      const key = `${kind}/${name}`;
      entries[pickBucket(key)]?.set(key, computeEntry(key, table[name]));
    });
  };
  addTable('service', snapshot.services);
  addTable('route', snapshot.routes);
  addTable('drain', snapshot.drains);
  return { entries, buckets: entries.map(computeBucket) };
}

function computeEntry(key: string, value: unknown): string {
  return createHash('sha256')
    .update(`${key}\n${formatCanonical(value)}`)
    .digest('base64');
}

/** Digests are sorted, since the order of a map follows the order of insertion. */
function computeBucket(bucket: ReadonlyMap<string, string>): string {
  if (bucket.size === 0) return '';
  const digests = [...bucket.values()].sort();
  return createHash('sha256').update(digests.join('\n')).digest('base64');
}

function computeRoot(version: number, buckets: readonly string[]): string {
  return createHash('sha256')
    .update(`${HASH_FORMAT}\n${version}\n${buckets.join('\n')}`)
    .digest('hex');
}

/** FNV-1a, 32 bits, over UTF-16 code units: http://www.isthe.com/chongo/tech/comp/fnv/ */
function pickBucket(key: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < key.length; index += 1) {
    // eslint-disable-next-line no-bitwise -- the function is defined on 32-bit words
    hash = Math.imul(hash ^ key.charCodeAt(index), 0x01000193);
  }
  // eslint-disable-next-line no-bitwise -- makes the word unsigned
  return (hash >>> 0) % BUCKET_COUNT;
}
