import type { MemberRecord, ServiceSummary, Snapshot } from '@cactusdeal/schema';
import type { Directory, Gate } from '@cactusdeal/traffic';

type GatesByService = ReadonlyMap<string, readonly Gate[]>;

const NO_GATES: readonly Gate[] = [];

/** A directory that is rebuilt when the membership, the summaries or the configuration change. */
export interface LiveDirectory extends Directory {
  /** Marks the directory as out of date; it is rebuilt at the next look-up. */
  refresh(): void;
}

/** Creates the directory of gates that may get new calls. */
export function createDirectory(options: {
  readonly getMembers: () => readonly MemberRecord[];
  readonly getSummaries: () => readonly ServiceSummary[];
  readonly getSnapshot: () => Snapshot;
}): LiveDirectory {
  let local: GatesByService | undefined;
  let remote: GatesByService | undefined;

  return {
    findLocal: (service) => {
      local ??= groupLocal(options.getMembers(), options.getSnapshot());
      return local.get(service) ?? NO_GATES;
    },
    findRemote: (service) => {
      remote ??= groupRemote(options.getSummaries(), options.getSnapshot());
      return remote.get(service) ?? NO_GATES;
    },
    refresh: () => {
      local = undefined;
      remote = undefined;
    },
  };
}

function groupLocal(members: readonly MemberRecord[], snapshot: Snapshot): GatesByService {
  const groups = new Map<string, Gate[]>();
  members.forEach((member) => {
    const { worker } = member;
    // A suspect may still be well; the gate itself is the judge until the suspicion is confirmed.
    const isMember = member.state === 'alive' || member.state === 'suspect';
    if (!isMember || worker?.state !== 'ready' || worker.name in snapshot.drains) return;
    const gate: Gate = {
      memberId: member.id,
      worker: worker.name,
      dataCentre: member.dataCentre,
      address: member.callsAddress,
      slots: worker.slots,
      readyAtMs: worker.readyAtMs,
    };
    worker.services.forEach((service) => addToGroup(groups, service, gate));
  });
  return groups;
}

function groupRemote(summaries: readonly ServiceSummary[], snapshot: Snapshot): GatesByService {
  const groups = new Map<string, Gate[]>();
  summaries.forEach((summary) => {
    summary.gates.forEach((entry) => {
      if (entry.worker in snapshot.drains) return;
      const gate: Gate = {
        memberId: entry.memberId,
        worker: entry.worker,
        dataCentre: summary.dataCentre,
        address: entry.callsAddress,
        slots: entry.slots,
        readyAtMs: 0,
      };
      addToGroup(groups, summary.service, gate);
    });
  });
  return groups;
}

function addToGroup(groups: Map<string, Gate[]>, service: string, gate: Gate): void {
  const group = groups.get(service);
  if (group === undefined) groups.set(service, [gate]);
  else group.push(gate);
}
