import type { BucketHashesMessage, ItemVersion } from '@cactusdeal/schema';
import { hashText } from './CactusdealMeshHash.js';

/** Name of a replicated table on the wire. */
export type TableName = BucketHashesMessage['table'];

/** A table of last-writer items that daemons compare part by part. */
export interface ReplicatedTable {
  readonly name: TableName;
  /** Items that take part in a comparison, with their versions. */
  listVersions(cutoffMs: number): Iterable<HashedVersion>;
  /** Whether the version is later than what is held. */
  isNewerThanHeld(version: ItemVersion): boolean;
  getItem(key: string): object | undefined;
  /** Takes over items of a peer; throws FailureError when one is malformed. */
  mergeItems(items: readonly unknown[]): void;
}

/** An item's version with hashes that were computed once. */
export interface HashedVersion extends ItemVersion {
  readonly bucket: number;
  readonly hash: number;
}

/** Parts into which a table is split for comparison. */
export const BUCKET_COUNT = 64;

/** Sums of hashes stay exact integers. */
const HASH_MODULUS = 2 ** 52;

/** Computes the version with its hashes. */
export function computeVersion(key: string, stamp: number, order: number): HashedVersion {
  const bucket = hashText(key) % BUCKET_COUNT;
  return { key, stamp, order, bucket, hash: hashText(`${key} ${stamp} ${order}`) };
}

/** Says whether the first version replaces the second. */
export function isLater(
  first: Omit<ItemVersion, 'key'>,
  second: Omit<ItemVersion, 'key'>,
): boolean {
  if (first.stamp !== second.stamp) return first.stamp > second.stamp;
  return first.order > second.order;
}

/** Computes the hash of each part; equal tables have equal hashes. */
export function computeBucketHashes(table: ReplicatedTable, cutoffMs: number): number[] {
  const hashes = new Array<number>(BUCKET_COUNT).fill(0);
  for (const { bucket, hash } of table.listVersions(cutoffMs)) {
    hashes[bucket] = ((hashes[bucket] ?? 0) + hash) % HASH_MODULUS;
  }
  return hashes;
}

/** Computes one hash over the whole table. */
export function computeTableHash(table: ReplicatedTable, cutoffMs: number): string {
  return hashText(computeBucketHashes(table, cutoffMs).join(' ')).toString(36);
}
