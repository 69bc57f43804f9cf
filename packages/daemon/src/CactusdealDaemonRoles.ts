import { selectReaders } from '@cactusdeal/mesh';
import {
  createReaderLease,
  createRoster,
  type MemberSlotOptions,
  ROSTER_SLOTS,
  runCheckpointer,
  runLogReader,
} from '@cactusdeal/operator';
import { getMonotonicMs, getWallTimeMs } from '@cactusdeal/shared';
import type { Parts } from './CactusdealDaemonParts.js';
import { startReaderRole } from './CactusdealDaemonReader.js';
import { runSurveys } from './CactusdealDaemonSurvey.js';

/** What this daemon does for its data centre beside its own work. */
export interface Roles {
  isReading(): boolean;
  /** Ends the roles and gives their leases back. */
  close(): Promise<void>;
}

/** Short, since a watch on a connection that went silent delays every change by this time. */
const WATCH_MS = 1_500;
const ROSTER_LEASE_MS = 30_000;
const CHECKPOINT_INTERVAL_MS = 20_000;

/** Starts the roles that the membership and the platform's leases may give to this daemon. */
export function startRoles(parts: Parts): Roles {
  const stop = new AbortController();
  const reader = startReaderRole({
    log: parts.log,
    lease: createReaderLease({
      ...buildSlotOptions(parts, parts.settings.advertise.mesh, stop.signal),
      slots: parts.settings.readers.perDataCentre,
      leaseMs: parts.settings.readers.leaseMs,
      isCandidate: () => parts.mesh.isReaderCandidate(),
    }),
    tasks: [
      (signal) => readLog(parts, signal),
      (signal) =>
        runSurveys({
          ...parts,
          clock: getWallTimeMs,
          isSurveyor: () => isAmongFirst(parts, 1),
          signal,
        }),
    ],
  });
  const checkpointer = writeCheckpoints(parts, reader.isReading, stop.signal);
  const roster = createRoster({
    ...buildSlotOptions(parts, parts.mesh.getSelf().meshAddress, stop.signal),
    leaseMs: ROSTER_LEASE_MS,
    isCandidate: () => isAmongFirst(parts, ROSTER_SLOTS),
  });
  return {
    isReading: reader.isReading,
    close: async () => {
      stop.abort();
      await Promise.all([reader.close(), roster.close(), checkpointer]);
    },
  };
}

function buildSlotOptions(
  { platform, settings, log }: Parts,
  meshAddress: string,
  signal: AbortSignal,
): Omit<MemberSlotOptions, 'leaseMs'> {
  const { dataCentre, id: memberId } = settings;
  return { platform, dataCentre, memberId, meshAddress, clock: getMonotonicMs, signal, log };
}

/** Whether this daemon is among the `count` first of its data centre, by the order of the readers. */
function isAmongFirst({ mesh, settings }: Parts, count: number): boolean {
  return selectReaders(mesh.getMembers(), count).some(({ id }) => id === settings.id);
}

function readLog({ platform, holder, mesh, log }: Parts, signal: AbortSignal): Promise<void> {
  return runLogReader({
    platform,
    signal,
    log,
    watchMs: WATCH_MS,
    target: {
      getHeadVersion: () => holder.getHeadVersion(),
      getSnapshot: () => holder.getSnapshot(),
      acceptEntry: (entry) => {
        holder.applyEntry(entry);
        mesh.publishEntry(entry);
      },
      acceptSnapshot: (snapshot, hash) => {
        holder.replaceSnapshot(snapshot, hash);
      },
    },
  });
}

function writeCheckpoints(
  { platform, holder, settings, log }: Parts,
  isReader: () => boolean,
  signal: AbortSignal,
): Promise<void> {
  return runCheckpointer({
    platform,
    source: holder,
    holder: { memberId: settings.id, meshAddress: settings.advertise.mesh },
    isReader,
    leaseMs: ROSTER_LEASE_MS,
    intervalMs: CHECKPOINT_INTERVAL_MS,
    clock: getMonotonicMs,
    signal,
    log,
  });
}
