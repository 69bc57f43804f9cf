import { selectReaders } from '@cactusdeal/mesh';
import {
  createReaderLease,
  createRosterLease,
  type MemberSlotOptions,
  ROSTER_SLOTS,
  runCheckpointer,
  runLogReader,
} from '@cactusdeal/operator';
import { getMonotonicMs, getWallTimeMs } from '@cactusdeal/shared';
import type { Components } from './CactusdealDaemonComponents.js';
import { startReaderRole } from './CactusdealDaemonReaderRole.js';
import { runSurveys } from './CactusdealDaemonSurvey.js';

/** Duties that this daemon may have for its data centre: reader, checkpoint writer, roster contact. */
export interface Roles {
  /** Whether this daemon is a reader of its data centre now. */
  isReading(): boolean;
  /** Ends the roles and releases their leases. */
  close(): Promise<void>;
}

/**
 * Longest wait of one watch at the platform. Kept short: when its connection goes silent, a change of the
 * configuration is noticed only after this time.
 */
const WATCH_TIMEOUT_MS = 1_500;
/** Lease of a roster slot and of the checkpoint writer. */
const ROLE_LEASE_MS = 30_000;
const CHECKPOINT_INTERVAL_MS = 20_000;

/** Starts the roles. Membership decides who is a candidate, leases at the platform who holds a role. */
export function startRoles(components: Components): Roles {
  const stop = new AbortController();
  const reader = startReaderRole({
    log: components.log,
    lease: createReaderLease({
      ...buildMemberSlotOptions(components, components.settings.advertise.mesh, stop.signal),
      slots: components.settings.readers.perDataCentre,
      leaseMs: components.settings.readers.leaseMs,
      isCandidate: () => components.mesh.isReaderCandidate(),
    }),
    tasks: [
      (signal) => readLog(components, signal),
      (signal) =>
        runSurveys({
          ...components,
          clock: getWallTimeMs,
          isSurveyor: () => isAmongFirstCandidates(components, 1),
          signal,
        }),
    ],
  });
  const checkpointer = writeCheckpoints(components, reader.isReading, stop.signal);
  const roster = createRosterLease({
    ...buildMemberSlotOptions(components, components.mesh.getSelf().meshAddress, stop.signal),
    leaseMs: ROLE_LEASE_MS,
    isCandidate: () => isAmongFirstCandidates(components, ROSTER_SLOTS),
  });
  return {
    isReading: reader.isReading,
    close: async () => {
      stop.abort();
      await Promise.all([reader.close(), roster.close(), checkpointer]);
    },
  };
}

function buildMemberSlotOptions(
  { platform, settings, log }: Components,
  meshAddress: string,
  signal: AbortSignal,
): Omit<MemberSlotOptions, 'leaseMs'> {
  const { dataCentre, id: memberId } = settings;
  return { platform, dataCentre, memberId, meshAddress, clock: getMonotonicMs, signal, log };
}

/**
 * Whether this daemon is among the first `count` members of its data centre in the order of
 * `selectReaders`.
 */
function isAmongFirstCandidates({ mesh, settings }: Components, count: number): boolean {
  return selectReaders(mesh.getMembers(), count).some(({ id }) => id === settings.id);
}

function readLog({ platform, holder, mesh, log }: Components, signal: AbortSignal): Promise<void> {
  return runLogReader({
    platform,
    signal,
    log,
    watchMs: WATCH_TIMEOUT_MS,
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
  { platform, holder, settings, log }: Components,
  isReader: () => boolean,
  signal: AbortSignal,
): Promise<void> {
  return runCheckpointer({
    platform,
    source: holder,
    holder: { memberId: settings.id, meshAddress: settings.advertise.mesh },
    isReader,
    leaseMs: ROLE_LEASE_MS,
    intervalMs: CHECKPOINT_INTERVAL_MS,
    clock: getMonotonicMs,
    signal,
    log,
  });
}
