import type { MemberRecord, Worker } from '@cactusdeal/schema';
import { type Channel, type Clock, createChannel } from '@cactusdeal/shared';
import { hashText } from './CactusdealMeshHash.js';

/** What merging a record did. */
export const MergeOutcome = {
  /** Already known, or older. */
  Stale: 'stale',
  /** Taken over; others may lack it. */
  Changed: 'changed',
  /** It spoke against this daemon, which answered with a higher incarnation of its own record. */
  Refuted: 'refuted',
} as const;
export type MergeOutcome = (typeof MergeOutcome)[keyof typeof MergeOutcome];

/** The members of one data centre, as one daemon knows them. */
export interface MemberTable {
  getSelf(): MemberRecord;
  get(id: string): MemberRecord | undefined;
  /** Every known record, the own one included, whatever its state. */
  list(): readonly MemberRecord[];
  /** Alive and suspect members other than this daemon. */
  listPresent(): readonly MemberRecord[];
  merge(record: MemberRecord): MergeOutcome;
  setWorker(worker: Worker | undefined): void;
  setSelfState(state: MemberRecord['state']): void;
  /** Hash of each of `BUCKET_COUNT` parts of the table; equal tables have equal hashes. */
  getBucketHashes(): readonly number[];
  /** Records of a part that may be handed on. */
  listBucket(index: number): readonly MemberRecord[];
  /** Drops dead and left members that were so for longer than the retention. */
  discardExpired(): void;
  readonly changes: Channel<MemberRecord>;
}

/** Parts into which the table is split for comparison with a peer's. */
export const BUCKET_COUNT = 64;

/** A later state of one incarnation replaces an earlier one. */
const STATE_ORDER: Readonly<Record<MemberRecord['state'], number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

interface Row {
  record: MemberRecord;
  /** When a dead or left record arrived; it is handed on for the first half of the retention. */
  goneAtMs: number;
  hash: number;
}

/**
 * Says whether `next` replaces `known`: the higher incarnation does, and within one incarnation the
 * later state (SWIM, Das et al. 2002).
 */
export function isNewer(next: MemberRecord, known: MemberRecord | undefined): boolean {
  if (known === undefined) return true;
  if (next.incarnation !== known.incarnation) return next.incarnation > known.incarnation;
  return STATE_ORDER[next.state] > STATE_ORDER[known.state];
}

/** Creates a table that holds only the own record. Gone members are kept for `retentionMs`. */
export function createMemberTable(
  self: MemberRecord,
  retentionMs: number,
  clock: Clock,
): MemberTable {
  const rows = new Map<string, Row>();
  const buckets = Array.from({ length: BUCKET_COUNT }, () => new Map<string, Row>());
  const changes = createChannel<MemberRecord>();
  let own = self;
  recordRow(self);

  function recordRow(record: MemberRecord): void {
    const isNews = rows.has(record.id);
    const isGone = record.state === 'dead' || record.state === 'left';
    // A gone member heard of for the first time is old news: remembered, but not handed on.
    const goneAtMs = isNews ? clock() : clock() - retentionMs / 2;
    const row = { record, goneAtMs: isGone ? goneAtMs : Infinity, hash: hashRecord(record) };
    rows.set(record.id, row);
    buckets[findBucket(record.id)]?.set(record.id, row);
    changes.push(record);
  }

  function isHandedOn(row: Row): boolean {
    return row.goneAtMs === Infinity || clock() - row.goneAtMs < retentionMs / 2;
  }

  function replaceSelf(change: Partial<MemberRecord>, minimum: number): void {
    const incarnation = Math.max(own.incarnation, minimum) + 1;
    const { worker, ...rest } = { ...own, ...change, incarnation };
    own = worker === undefined ? rest : { ...rest, worker };
    recordRow(own);
  }

  function mergeSelf(record: MemberRecord): MergeOutcome {
    if (!isNewer(record, own)) return MergeOutcome.Stale;
    if (own.state === 'left') return MergeOutcome.Stale;
    replaceSelf({}, record.incarnation);
    return MergeOutcome.Refuted;
  }

  return {
    getSelf: () => own,
    get: (id) => rows.get(id)?.record,
    list: () => [...rows.values()].map((row) => row.record),
    listPresent: () =>
      [...rows.values()].map((row) => row.record).filter((record) => isPresent(record, own.id)),
    merge: (record) => {
      if (record.id === own.id) return mergeSelf(record);
      if (!isNewer(record, rows.get(record.id)?.record)) return MergeOutcome.Stale;
      recordRow(record);
      return MergeOutcome.Changed;
    },
    setWorker: (worker) => replaceSelf({ worker } as Partial<MemberRecord>, 0),
    setSelfState: (state) => replaceSelf({ state }, 0),
    getBucketHashes: () => buckets.map((bucket) => hashBucket(bucket, isHandedOn)),
    listBucket: (index) =>
      [...(buckets[index]?.values() ?? [])].filter(isHandedOn).map((row) => row.record),
    discardExpired: () => {
      const expired = [...rows.values()].filter((row) => clock() - row.goneAtMs >= retentionMs);
      expired.forEach(({ record }) => {
        rows.delete(record.id);
        buckets[findBucket(record.id)]?.delete(record.id);
      });
    },
    changes,
  };
}

function isPresent(record: MemberRecord, ownId: string): boolean {
  return record.id !== ownId && (record.state === 'alive' || record.state === 'suspect');
}

function findBucket(id: string): number {
  return hashText(id) % BUCKET_COUNT;
}

function hashRecord(record: MemberRecord): number {
  return hashText(`${record.id} ${record.incarnation} ${record.state}`);
}

function hashBucket(bucket: ReadonlyMap<string, Row>, isCounted: (row: Row) => boolean): number {
  let sum = 0;
  bucket.forEach((row) => {
    if (isCounted(row)) sum = (sum + row.hash) % Number.MAX_SAFE_INTEGER;
  });
  return sum;
}
