import type { MemberRecord, ServiceSummary, Snapshot } from '@cactusdeal/schema';
import type { Directory, Gate } from '@cactusdeal/traffic';

type GatesByService = ReadonlyMap<string, readonly Gate[]>;

const NO_GATES: readonly Gate[] = [];

/**
 * A directory that is built on demand from the membership, the service summaries and the
 * configuration.
 */
export interface LiveDirectory extends Directory {
  /**
   * Discards what was built; the next look-up builds it anew. Called after each change of these
   * inputs.
   */
  invalidate(): void;
}

/** Creates the directory of the gates that may receive new calls. */
export function createDirectory(options: {
  readonly getMembers: () => readonly MemberRecord[];
  readonly getSummaries: () => readonly ServiceSummary[];
  readonly getSnapshot: () => Snapshot;
}): LiveDirectory {
  let localGates: GatesByService | undefined;
  let remoteGates: GatesByService | undefined;

  return {
    findLocal: (service) => {
      localGates ??= groupLocalGates(options.getMembers(), options.getSnapshot());
      return localGates.get(service) ?? NO_GATES;
    },
    findRemote: (service) => {
      remoteGates ??= groupRemoteGates(options.getSummaries(), options.getSnapshot());
      return remoteGates.get(service) ?? NO_GATES;
    },
    invalidate: () => {
      localGates = undefined;
      remoteGates = undefined;
    },
  };
}

function groupLocalGates(members: readonly MemberRecord[], snapshot: Snapshot): GatesByService {
  const groups = new Map<string, Gate[]>();
  members.forEach((member) => {
    const { worker } = member;
    // A suspected member may be healthy, so it is listed until it is declared dead; its gate may
    // refuse calls.
    const isListed = member.state === 'alive' || member.state === 'suspect';
    if (!isListed || worker?.state !== 'ready' || worker.name in snapshot.drains) return;
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

function groupRemoteGates(
  summaries: readonly ServiceSummary[],
  snapshot: Snapshot,
): GatesByService {
  const groups = new Map<string, Gate[]>();
  summaries.forEach((summary) => {
    summary.gates.forEach((remoteGate) => {
      if (remoteGate.worker in snapshot.drains) return;
      const gate: Gate = {
        memberId: remoteGate.memberId,
        worker: remoteGate.worker,
        dataCentre: summary.dataCentre,
        address: remoteGate.callsAddress,
        slots: remoteGate.slots,
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
