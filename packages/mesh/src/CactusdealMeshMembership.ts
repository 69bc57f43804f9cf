import { createValidator, type MemberRecord, type Worker } from '@cactusdeal/schema';
import { getMonotonicMs, type Log } from '@cactusdeal/shared';
import type { Broadcast } from './CactusdealMeshBroadcast.js';
import { computeRecordVersion, isNewer, MergeOutcome } from './CactusdealMeshMembers.js';
import type { MemberTable } from './CactusdealMeshMembers.js';
import { checkValue } from './CactusdealMeshMessages.js';
import type { Overlay } from './CactusdealMeshOverlay.js';
import { createRateLimit } from './CactusdealMeshRateLimit.js';
import type { ReplicatedTable } from './CactusdealMeshTable.js';

/** Broadcasts changes of the member table and merges the records that other daemons send. */
export interface Membership {
  readonly table: ReplicatedTable;
  /** Broadcasts the own record; without neighbours nothing is sent until the first one connects. */
  publishSelf(): void;
  /** Sets or removes the worker in the own record and broadcasts the record. */
  setWorker(worker: Worker | undefined): void;
  /**
   * Marks a member as suspect or dead and broadcasts it, unless a newer record is already known.
   */
  publishVerdict(record: MemberRecord, state: 'suspect' | 'dead'): void;
  /** Marks the own record as left and broadcasts it. */
  leave(): void;
}

/** Dependencies and settings of the membership. */
export interface MembershipOptions {
  readonly dataCentre: string;
  readonly members: MemberTable;
  readonly broadcast: Broadcast;
  readonly overlay: Overlay;
  readonly log: Log;
}

/**
 * When one anti-entropy message brings at most this many new records, they are broadcast as well.
 * When it brings more, none is, and they spread by anti-entropy alone.
 */
const MAX_REBROADCAST_RECORDS = 16;
/** Rate limit of broadcasts that refute a claim about this daemon. */
const REFUTATIONS_PER_SECOND = 2;
const REFUTATION_BURST = 8;

const validateRecord = createValidator<MemberRecord>('messages#/definitions/MemberRecord');

/** Creates the membership of one daemon. */
export function createMembership(options: MembershipOptions): Membership {
  const { members, broadcast, overlay } = options;
  const refutations = createRateLimit(REFUTATIONS_PER_SECOND, REFUTATION_BURST, getMonotonicMs);

  function publishRecord(record: MemberRecord): void {
    if (overlay.getDegree() === 0) return;
    const id = `member ${record.id} ${record.incarnation} ${record.state}`;
    broadcast.publish(id, { kind: 'member', record });
  }

  function publishSelf(): void {
    publishRecord(members.getSelf());
  }

  /**
   * Rate-limited, because two daemons with the same id would refute each other without end. A
   * record that is not broadcast here still spreads by anti-entropy.
   */
  function publishRefutation({ state, incarnation }: MemberRecord): void {
    if (!refutations.tryTake()) return;
    options.log.warn('mesh-refuted', { state, incarnation });
    publishSelf();
  }

  function mergeRecord(record: MemberRecord): boolean {
    if (record.dataCentre !== options.dataCentre) return false;
    const outcome = members.merge(record);
    if (outcome === MergeOutcome.Refuted) publishRefutation(record);
    return outcome === MergeOutcome.Changed;
  }

  function mergeItems(items: readonly unknown[]): void {
    const records = items.map((item) => checkValue(validateRecord, item));
    const changed = records.filter(mergeRecord);
    if (changed.length <= MAX_REBROADCAST_RECORDS) changed.forEach(publishRecord);
  }

  broadcast.receive('member', (body) => mergeRecord(checkValue(validateRecord, body.record)));

  return {
    table: {
      name: 'members',
      listVersions: () => members.listVersions(),
      isNewerThanHeld: (version) => {
        const known = members.get(version.key);
        if (known === undefined) return true;
        const { stamp, order } = computeRecordVersion(known);
        return version.stamp > stamp || (version.stamp === stamp && version.order > order);
      },
      getItem: members.get,
      mergeItems,
    },
    publishSelf,
    setWorker: (worker) => {
      members.setWorker(worker);
      publishSelf();
    },
    publishVerdict: (record, state) => {
      const verdict = { ...record, state };
      if (!isNewer(verdict, members.get(record.id)) || !mergeRecord(verdict)) return;
      publishRecord(verdict);
    },
    leave: () => {
      members.leave();
      publishSelf();
    },
  };
}
