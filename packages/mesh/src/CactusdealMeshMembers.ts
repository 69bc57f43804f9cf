import type { MemberRecord, Worker } from '@cactusdeal/schema';
import { type Channel, type Clock, createChannel } from '@cactusdeal/shared';
import { computeVersion, type HashedVersion, isLater } from './CactusdealMeshTable.js';

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
  listAlive(): readonly MemberRecord[];
  /** Members that were suspect before the given time, by the table's clock. */
  listSuspectsBefore(timeMs: number): readonly MemberRecord[];
  merge(record: MemberRecord): MergeOutcome;
  setWorker(worker: Worker | undefined): void;
  /** States that this daemon leaves. */
  leave(): void;
  /** Versions of the records that may be handed on. */
  listVersions(): Iterable<HashedVersion>;
  /** Forgets dead and left members that were so for longer than the retention. */
  discardExpired(): void;
  readonly changes: Channel<MemberRecord>;
}

/** A later state of one incarnation replaces an earlier one. */
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
  /** A gone member that was never known here is remembered, but not handed on. */
  readonly isHandedOn: boolean;
}

/** The version of a record: its incarnation, then its state (SWIM, Das et al. 2002). */
export function computeRecordVersion(record: MemberRecord): HashedVersion {
  return computeVersion(record.id, record.incarnation, STATE_ORDER[record.state]);
}

/** Says whether `next` replaces `known`. */
export function isNewer(next: MemberRecord, known: MemberRecord | undefined): boolean {
  if (known === undefined) return true;
  return isLater(
    { stamp: next.incarnation, order: STATE_ORDER[next.state] },
    { stamp: known.incarnation, order: STATE_ORDER[known.state] },
  );
}

/** Creates a table that holds only the own record. Gone members are kept for `retentionMs`. */
export function createMemberTable(
  self: MemberRecord,
  retentionMs: number,
  clock: Clock,
): MemberTable {
  const rows = new Map<string, Row>();
  const changes = createChannel<MemberRecord>();
  let own = self;
  recordRow(self);

  function recordRow(record: MemberRecord): void {
    const isHandedOn = rows.has(record.id) || !isGone(record);
    const version = computeRecordVersion(record);
    rows.set(record.id, { record, version, changedAtMs: clock(), isHandedOn });
    changes.push(record);
  }

  function replaceSelf(change: Partial<MemberRecord>, minimum: number): void {
    const incarnation = Math.max(own.incarnation, minimum) + 1;
    const { worker, ...rest } = { ...own, ...change, incarnation };
    own = worker === undefined ? rest : { ...rest, worker };
    recordRow(own);
  }

  function mergeSelf(record: MemberRecord): MergeOutcome {
    if (!isNewer(record, own) || own.state === 'left') return MergeOutcome.Stale;
    replaceSelf({}, record.incarnation);
    return MergeOutcome.Refuted;
  }

  function isInComparison({ record, changedAtMs, isHandedOn }: Row): boolean {
    return isHandedOn && (!isGone(record) || clock() - changedAtMs < retentionMs / 2);
  }

  function selectRecords(test: (row: Row) => boolean): MemberRecord[] {
    return [...rows.values()].filter(test).map((row) => row.record);
  }

  return {
    getSelf: () => own,
    get: (id) => rows.get(id)?.record,
    list: () => selectRecords(() => true),
    listPresent: () => selectRecords(({ record }) => record !== own && !isGone(record)),
    listAlive: () => selectRecords(({ record }) => record !== own && record.state === 'alive'),
    listSuspectsBefore: (timeMs) =>
      selectRecords((row) => row.record.state === 'suspect' && row.changedAtMs < timeMs),
    merge: (record) => {
      if (record.id === own.id) return mergeSelf(record);
      if (!isNewer(record, rows.get(record.id)?.record)) return MergeOutcome.Stale;
      recordRow(record);
      return MergeOutcome.Changed;
    },
    setWorker: (worker) => replaceSelf({ worker } as Partial<MemberRecord>, 0),
    leave: () => replaceSelf({ state: 'left' }, 0),
    listVersions: () => [...rows.values()].filter(isInComparison).map((row) => row.version),
    discardExpired: () =>
      rows.forEach(({ record, changedAtMs }) => {
        if (isGone(record) && clock() - changedAtMs >= retentionMs) rows.delete(record.id);
      }),
    changes,
  };
}

/** Says whether the member is known to be no longer there. */
export function isGone(record: MemberRecord): boolean {
  return record.state === 'dead' || record.state === 'left';
}
