import { createValidator, type MemberRecord, type Worker } from '@cactusdeal/schema';
import { getMonotonicMs, type Log } from '@cactusdeal/shared';
import type { Broadcast } from './CactusdealMeshBroadcast.js';
import { computeRecordVersion, isNewer, MergeOutcome } from './CactusdealMeshMembers.js';
import type { MemberTable } from './CactusdealMeshMembers.js';
import { checkValue } from './CactusdealMeshMessages.js';
import type { Overlay } from './CactusdealMeshOverlay.js';
import { createRateLimit } from './CactusdealMeshRateLimit.js';
import type { ReplicatedTable } from './CactusdealMeshTable.js';

/** Keeps the member table and the broadcast in step. */
export interface Membership {
  readonly table: ReplicatedTable;
  /** Spreads the own record; without neighbours it waits for the first. */
  publishSelf(): void;
  setWorker(worker: Worker | undefined): void;
  /** Spreads a verdict on a member, unless its record moved on meanwhile. */
  publishVerdict(record: MemberRecord, state: 'suspect' | 'dead'): void;
  /** Spreads that this daemon leaves. */
  leave(): void;
}

/** What the membership needs from its surroundings. */
export interface MembershipOptions {
  readonly dataCentre: string;
  readonly members: MemberTable;
  readonly broadcast: Broadcast;
  readonly overlay: Overlay;
  readonly log: Log;
}

/** Records of one comparison that are few enough to be spread further at once. */
const MAX_SPREAD_RECORDS = 16;
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

  /** Two daemons of one name would refute each other without end; the digests still spread it. */
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
    if (changed.length <= MAX_SPREAD_RECORDS) changed.forEach(publishRecord);
  }

  broadcast.receive('member', (body) => mergeRecord(checkValue(validateRecord, body.record)));

  return {
    table: {
      name: 'members',
      listVersions: () => members.listVersions(),
      isNews: (version) => {
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
