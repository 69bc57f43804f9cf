import type { Clock, Log } from '@cactusdeal/shared';
import type { RolloutStatusReading, RolloutStore } from './CactusdealRelayPorts.js';
import type { RolloutRecords } from './CactusdealRelayRolloutRecords.js';
import { isFinal, type RolloutOrder, RolloutPhase } from './CactusdealRelayRolloutTypes.js';

/**
 * Brings the status of each rollout into the store. The readers of all data centres may write: each reads
 * first and writes by compare-and-swap, so that one decision counts.
 */
export interface RolloutStatusWriter {
  /** Has the status in the store compared, as it may have been lost. */
  requestCheck(service: string): void;
  hasRequest(service: string): boolean;
  /** Has `succeeded` written; it takes effect once the store holds it. */
  requestSuccess(order: RolloutOrder): void;
  /** Writes what is missing, if this daemon is a reader; called repeatedly. */
  check(order: RolloutOrder): void;
}

export interface RolloutStatusWriterOptions {
  readonly store: RolloutStore | undefined;
  readonly records: RolloutRecords;
  /** Whether this daemon reads the store for its data centre, and thus reaches it. */
  readonly isReader: () => boolean;
  readonly clock: Clock;
  readonly log: Log;
}

/** Least time between attempts for one service. */
const RETRY_MS = 750;

export function createRolloutStatusWriter(
  options: RolloutStatusWriterOptions,
): RolloutStatusWriter {
  const { store, records, isReader, clock, log } = options;
  const requestedChecks = new Set<string>();
  /** By service, the version whose success is to be written. */
  const successes = new Map<string, string>();
  const attemptedAtMs = new Map<string, number>();
  return {
    requestCheck: (service) => {
      requestedChecks.add(service);
    },
    hasRequest: (service) => requestedChecks.has(service),
    requestSuccess: ({ service, targetVersion }) => {
      successes.set(service, targetVersion);
    },
    check,
  };

  function check(order: RolloutOrder): void {
    const { service } = order;
    if (store === undefined || !isReader()) return;
    const isComplete = records.getCurrent(service)?.isStored === true && !hasPendingSuccess(order);
    if (isComplete && !requestedChecks.has(service)) return;
    if (clock() - (attemptedAtMs.get(service) ?? -Infinity) < RETRY_MS) return;
    attemptedAtMs.set(service, clock());
    void syncStatus(store, order);
  }

  function hasPendingSuccess({ service, targetVersion }: RolloutOrder): boolean {
    const rollout = records.getCurrent(service);
    return rollout?.phase === RolloutPhase.Running && successes.get(service) === targetVersion;
  }

  async function syncStatus(statusStore: RolloutStore, order: RolloutOrder): Promise<void> {
    const { service } = order;
    const read = await statusStore.readStatus(service);
    if (read.isLeft()) {
      log.warn('rollout-status-unread', { service, ...read.swap().unsafeCoerce() });
      return;
    }
    const reading = read.unsafeCoerce();
    // A connection from before a restore may still reach the old store.
    if (reading.point.era < (records.getCurrent(service)?.currentAt.era ?? 0)) return;
    if (reading.order !== undefined && reading.order.targetVersion !== order.targetVersion) {
      records.receiveOrder(reading.order, reading.point, true);
      return;
    }
    if (await settleStatus(statusStore, order, reading)) requestedChecks.delete(service);
  }

  /** Compares the status with what is known here and writes it if it lacks that; false if it fails. */
  async function settleStatus(
    statusStore: RolloutStore,
    order: RolloutOrder,
    { order: storedOrder, status, revision }: RolloutStatusReading,
  ): Promise<boolean> {
    const { service, targetVersion } = order;
    const phase = findWantedPhase(order);
    if (phase === undefined) return true;
    const isOwn = status?.targetVersion === targetVersion;
    if (isOwn && (status.phase === phase || isFinal(status.phase))) {
      records.confirm(order, status.phase, false);
      return true;
    }
    // Without the order, the status may belong to a later one that the store has lost.
    if (storedOrder === undefined && status !== undefined && !isOwn) return true;
    const written = await statusStore.writeStatus(service, { targetVersion, phase }, revision);
    written
      .ifLeft(({ kind, message }) => {
        log.warn('rollout-status-unwritten', { service, targetVersion, phase, kind, message });
      })
      .ifRight(() => {
        log.info('rollout-status-written', { service, targetVersion, phase });
        records.confirm(order, phase, true);
      });
    return written.isRight();
  }

  /** The phase that the store should hold; undefined if the order is no longer the current one. */
  function findWantedPhase(order: RolloutOrder): RolloutPhase | undefined {
    const rollout = records.getCurrent(order.service);
    if (rollout?.order.targetVersion !== order.targetVersion) return undefined;
    if (isFinal(rollout.phase)) return rollout.phase;
    return hasPendingSuccess(order) ? RolloutPhase.Succeeded : RolloutPhase.Running;
  }
}
