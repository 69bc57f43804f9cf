import type {
  BucketHashesMessage,
  BucketItemsMessage,
  ItemsMessage,
  ItemVersion,
} from '@cactusdeal/schema';
import type { RemoteEndpoint } from './CactusdealMeshPeer.js';
import {
  computeBucketHashes,
  type HashedVersion,
  isLater,
  type ReplicatedTable,
} from './CactusdealMeshTable.js';

/** Most items in one message; further items go into further messages. */
const MAX_ITEMS_PER_MESSAGE = 500;

/** Step 1 of 4: sends the hash of each bucket, after a digest showed that the tables differ. */
export function sendBucketHashes(
  peer: RemoteEndpoint,
  table: ReplicatedTable,
  cutoffMs: number,
): void {
  const hashes = computeBucketHashes(table, cutoffMs);
  peer.send({ type: 'bucket-hashes', table: table.name, cutoffMs, hashes });
}

/** Step 2: sends the versions of the items held in the buckets that differ. */
export function answerHashes(
  peer: RemoteEndpoint,
  table: ReplicatedTable,
  { hashes, cutoffMs }: BucketHashesMessage,
): void {
  const own = computeBucketHashes(table, cutoffMs);
  const buckets = own.flatMap((hash, index) => (hash === hashes[index] ? [] : [index]));
  const items = listInBuckets(table, cutoffMs, buckets).map(toItemVersion);
  peer.send({ type: 'bucket-items', table: table.name, cutoffMs, buckets, items });
}

/** Step 3: sends the items that the peer lacks or holds older, and requests those lacking here. */
export function answerItemVersions(
  peer: RemoteEndpoint,
  table: ReplicatedTable,
  message: BucketItemsMessage,
): void {
  const theirs = new Map(message.items.map((version) => [version.key, version]));
  const wanted = message.items.filter(table.isNewerThanHeld).map((version) => version.key);
  const missing = listInBuckets(table, message.cutoffMs, message.buckets)
    .filter((version) => isMissingOrOlder(version, theirs.get(version.key)))
    .map((version) => version.key);
  sendItems(peer, table, missing, wanted);
}

/** Step 4: merges the items, and sends those that the peer requested. */
export function answerItems(
  peer: RemoteEndpoint,
  table: ReplicatedTable,
  message: ItemsMessage,
): void {
  table.mergeItems(message.items);
  if (message.isLast && message.wanted.length > 0) sendItems(peer, table, message.wanted, []);
}

function listInBuckets(
  table: ReplicatedTable,
  cutoffMs: number,
  buckets: readonly number[],
): HashedVersion[] {
  const wanted = new Set(buckets);
  return [...table.listVersions(cutoffMs)].filter((version) => wanted.has(version.bucket));
}

function isMissingOrOlder(own: ItemVersion, theirs: ItemVersion | undefined): boolean {
  return theirs === undefined || isLater(own, theirs);
}

function toItemVersion({ key, stamp, order }: HashedVersion): ItemVersion {
  return { key, stamp, order };
}

function sendItems(
  peer: RemoteEndpoint,
  table: ReplicatedTable,
  keys: readonly string[],
  wanted: readonly string[],
): void {
  const items = keys.flatMap((key) => table.getItem(key) ?? []) as Record<string, unknown>[];
  do {
    const part = items.splice(0, MAX_ITEMS_PER_MESSAGE);
    const isLast = items.length === 0;
    peer.send({ type: 'items', table: table.name, items: part, wanted: [...wanted], isLast });
  } while (items.length > 0);
}
