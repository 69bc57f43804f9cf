import type { BucketHashesMessage, ItemVersion } from '@cactusdeal/schema';
import { hashText } from './CactusdealMeshHash.js';

/** Name of a replicated table in messages. */
export type TableName = BucketHashesMessage['table'];

/**
 * A replicated table whose items are last-writer-wins; anti-entropy compares it bucket by bucket.
 */
export interface ReplicatedTable {
  readonly name: TableName;
  /** Versions of the items that anti-entropy compares, given the cutoff of the digest. */
  listVersions(cutoffMs: number): Iterable<HashedVersion>;
  /** Whether the version is newer than the held one of its key, or its key is unknown. */
  isNewerThanHeld(version: ItemVersion): boolean;
  getItem(key: string): object | undefined;
  /** Merges items of a peer; throws FailureError when one is malformed. */
  mergeItems(items: readonly unknown[]): void;
}

/** Version of an item with its bucket and hash, computed once. */
export interface HashedVersion extends ItemVersion {
  readonly bucket: number;
  readonly hash: number;
}

/** Buckets into which the keys of a table are split for comparison. */
export const BUCKET_COUNT = 64;

/** Keeps sums of 48-bit hashes within the integers that a double represents exactly. */
const HASH_MODULUS = 2 ** 52;

/** Creates the version of an item with its bucket and hash. */
export function computeVersion(key: string, stamp: number, order: number): HashedVersion {
  const bucket = hashText(key) % BUCKET_COUNT;
  return { key, stamp, order, bucket, hash: hashText(`${key} ${stamp} ${order}`) };
}

/** Whether the first version is newer: by stamp, then by order. */
export function isLater(
  first: Omit<ItemVersion, 'key'>,
  second: Omit<ItemVersion, 'key'>,
): boolean {
  if (first.stamp !== second.stamp) return first.stamp > second.stamp;
  return first.order > second.order;
}

/** Computes the hash of each bucket, independent of the order of items. */
export function computeBucketHashes(table: ReplicatedTable, cutoffMs: number): number[] {
  const hashes = new Array<number>(BUCKET_COUNT).fill(0);
  for (const { bucket, hash } of table.listVersions(cutoffMs)) {
    hashes[bucket] = ((hashes[bucket] ?? 0) + hash) % HASH_MODULUS;
  }
  return hashes;
}

/** Computes the hash of the whole table. */
export function computeTableHash(table: ReplicatedTable, cutoffMs: number): string {
  return hashText(computeBucketHashes(table, cutoffMs).join(' ')).toString(36);
}
