import type { MemberRecord, ServiceSummary, SummaryGate } from '@cactusdeal/schema';
import { hashText } from './CactusdealMeshHash.js';

/** Most gates that a summary lists. */
export const GATES_PER_SUMMARY = 4;

/**
 * Computes the summaries that other data centres receive of this one: for each service the slots of
 * its ready workers and a few of their gates. Daemons with the same records select the same gates.
 */
export function computeSummaries(
  dataCentre: string,
  records: readonly MemberRecord[],
): Map<string, ServiceSummary> {
  const gates = new Map<string, SummaryGate[]>();
  records.filter(isReady).forEach((record) => {
    record.worker?.services.forEach((service) => {
      const known = gates.get(service);
      if (known === undefined) gates.set(service, [toGate(record)]);
      else known.push(toGate(record));
    });
  });
  return new Map(
    [...gates].map(([service, list]) => [service, createSummary(dataCentre, service, list)]),
  );
}

/**
 * Lists the summaries that differ between two computations. A summary without slots and gates
 * stands for a removed service.
 */
export function diffSummaries(
  dataCentre: string,
  before: ReadonlyMap<string, ServiceSummary>,
  after: ReadonlyMap<string, ServiceSummary>,
): ServiceSummary[] {
  const changed = [...after.values()].filter(
    (summary) => JSON.stringify(summary) !== JSON.stringify(before.get(summary.service)),
  );
  const removed = [...before.keys()]
    .filter((service) => !after.has(service))
    .map((service) => ({ dataCentre, service, readySlots: 0, gates: [] }));
  return [...changed, ...removed];
}

/** Computes a hash over summaries that does not depend on their order. */
export function computeSummariesHash(summaries: readonly ServiceSummary[]): string {
  const lines = summaries.map(({ service, readySlots, gates }) =>
    [service, readySlots, ...gates.map(formatGate)].join(' '),
  );
  return hashText(lines.sort().join('\n')).toString(36);
}

function formatGate({ memberId, callsAddress, worker, slots }: SummaryGate): string {
  return `${memberId} ${callsAddress} ${worker} ${slots}`;
}

function isReady({ state, worker }: MemberRecord): boolean {
  return state === 'alive' && worker?.state === 'ready';
}

function toGate({ id, callsAddress, remoteCallsAddress, worker }: MemberRecord): SummaryGate {
  const address = remoteCallsAddress ?? callsAddress;
  return {
    memberId: id,
    callsAddress: address,
    worker: worker?.name ?? id,
    slots: worker?.slots ?? 1,
  };
}

function createSummary(
  dataCentre: string,
  service: string,
  gates: readonly SummaryGate[],
): ServiceSummary {
  const readySlots = gates.reduce((sum, gate) => sum + gate.slots, 0);
  const chosen = gates
    .map((gate) => ({ gate, hash: hashText(`gate ${service} ${gate.memberId}`) }))
    .sort((first, second) => first.hash - second.hash)
    .slice(0, GATES_PER_SUMMARY)
    .map(({ gate }) => gate);
  return { dataCentre, service, readySlots, gates: chosen };
}
