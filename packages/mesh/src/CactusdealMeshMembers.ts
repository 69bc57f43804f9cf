import type { MemberRecord, Worker } from '@cactusdeal/schema';
import { type Channel, type Clock, createChannel } from '@cactusdeal/shared';
import { computeVersion, type HashedVersion, isLater } from './CactusdealMeshTable.js';

/** Result of merging a record. */
export const MergeOutcome = {
  /** The record was already known, or older than the known one. */
  Stale: 'stale',
  /** The record replaced the known one; other members may not have it yet. */
  Changed: 'changed',
  /** The record was a newer one of this daemon, whose own record was given a higher incarnation. */
  Refuted: 'refuted',
} as const;
export type MergeOutcome = (typeof MergeOutcome)[keyof typeof MergeOutcome];

/** The member table of one data centre, as held by one daemon. */
export interface MemberTable {
  getSelf(): MemberRecord;
  get(id: string): MemberRecord | undefined;
  /** Every known record, the own one included, whatever its state. */
  list(): readonly MemberRecord[];
  /** Alive and suspect members other than this daemon. */
  listPresent(): readonly MemberRecord[];
  listAlive(): readonly MemberRecord[];
  /** Suspects whose record was stored before the given time of the table's clock. */
  listSuspectsBefore(timeMs: number): readonly MemberRecord[];
  /** Stores the record if it is newer than the known one. */
  merge(record: MemberRecord): MergeOutcome;
  /** Replaces the worker in the own record and raises its incarnation. */
  setWorker(worker: Worker | undefined): void;
  /** Marks the own record as left and raises its incarnation. */
  leave(): void;
  /** Versions of the records that anti-entropy compares. */
  listVersions(): Iterable<HashedVersion>;
  /** Deletes members that have been dead or left for the retention time. */
  discardExpired(): void;
  /** Emits each record that was stored. */
  readonly changes: Channel<MemberRecord>;
}

/** Order of the states within one incarnation; a higher one replaces a lower one. */
const STATE_ORDER: Readonly<Record<MemberRecord['state'], number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

interface Row {
  readonly record: MemberRecord;
  readonly version: HashedVersion;
  readonly changedAtMs: number;
  /**
   * Whether anti-entropy offers the record to other daemons. A member that was already dead or left
   * when it became known here is stored but not offered.
   */
  readonly isReplicated: boolean;
}

/**
 * Computes the version of a record, ordered by incarnation, then by state (SWIM, Das et al. 2002).
 */
export function computeRecordVersion(record: MemberRecord): HashedVersion {
  return computeVersion(record.id, record.incarnation, STATE_ORDER[record.state]);
}

/** Whether `next` is newer than `known`. */
export function isNewer(next: MemberRecord, known: MemberRecord | undefined): boolean {
  if (known === undefined) return true;
  return isLater(
    { stamp: next.incarnation, order: STATE_ORDER[next.state] },
    { stamp: known.incarnation, order: STATE_ORDER[known.state] },
  );
}

/** Creates a table with the own record only. Dead and left members are kept for `retentionMs`. */
export function createMemberTable(
  self: MemberRecord,
  retentionMs: number,
  clock: Clock,
): MemberTable {
  const rows = new Map<string, Row>();
  const changes = createChannel<MemberRecord>();
  let own = self;
  storeRecord(self);

  function storeRecord(record: MemberRecord): void {
    const isReplicated = rows.has(record.id) || !isDeadOrLeft(record);
    const version = computeRecordVersion(record);
    rows.set(record.id, { record, version, changedAtMs: clock(), isReplicated });
    changes.push(record);
  }

  function updateSelf(change: Partial<MemberRecord>, minimum: number): void {
    const incarnation = Math.max(own.incarnation, minimum) + 1;
    const { worker, ...rest } = { ...own, ...change, incarnation };
    own = worker === undefined ? rest : { ...rest, worker };
    storeRecord(own);
  }

  function mergeSelf(record: MemberRecord): MergeOutcome {
    if (!isNewer(record, own) || own.state === 'left') return MergeOutcome.Stale;
    updateSelf({}, record.incarnation);
    return MergeOutcome.Refuted;
  }

  /**
   * Dead and left members are left out after half of the retention, so that they are not sent again
   * to daemons that have already deleted them.
   */
  function isCompared({ record, changedAtMs, isReplicated }: Row): boolean {
    return isReplicated && (!isDeadOrLeft(record) || clock() - changedAtMs < retentionMs / 2);
  }

  function selectRecords(test: (row: Row) => boolean): MemberRecord[] {
    return [...rows.values()].filter(test).map((row) => row.record);
  }

  return {
    getSelf: () => own,
    get: (id) => rows.get(id)?.record,
    list: () => selectRecords(() => true),
    listPresent: () => selectRecords(({ record }) => record !== own && !isDeadOrLeft(record)),
    listAlive: () => selectRecords(({ record }) => record !== own && record.state === 'alive'),
    listSuspectsBefore: (timeMs) =>
      selectRecords((row) => row.record.state === 'suspect' && row.changedAtMs < timeMs),
    merge: (record) => {
      if (record.id === own.id) return mergeSelf(record);
      if (!isNewer(record, rows.get(record.id)?.record)) return MergeOutcome.Stale;
      storeRecord(record);
      return MergeOutcome.Changed;
    },
    setWorker: (worker) => updateSelf({ worker } as Partial<MemberRecord>, 0),
    leave: () => updateSelf({ state: 'left' }, 0),
    listVersions: () => [...rows.values()].filter(isCompared).map((row) => row.version),
    discardExpired: () =>
      rows.forEach(({ record, changedAtMs }) => {
        if (isDeadOrLeft(record) && clock() - changedAtMs >= retentionMs) rows.delete(record.id);
      }),
    changes,
  };
}

/** Whether the member is dead or left. */
export function isDeadOrLeft(record: MemberRecord): boolean {
  return record.state === 'dead' || record.state === 'left';
}
