import type { Clock, Log } from '@cactusdeal/shared';
import {
  comparePoints,
  isFinal,
  type Rollout,
  type RolloutOrder,
  RolloutPhase,
  type StorePoint,
  type VersionRule,
} from './CactusdealRelayRolloutTypes.js';

/** What this daemon knows of all rollouts. No later message undoes a final phase that the store holds. */
export interface RolloutRecords {
  /** Handles an order read from the store; `isWatched` if it was written while the store was watched. */
  receiveOrder(order: RolloutOrder, point: StorePoint, isWatched: boolean): void;
  /** Handles what another daemon knows. */
  receiveRollout(rollout: Rollout): void;
  /** Records this daemon's decision to roll back, which binds before the store has it. */
  rollBack(order: RolloutOrder): void;
  /** Handles the status that the store holds; `isWritten` if this daemon has just written it. */
  confirm(order: RolloutOrder, phase: RolloutPhase, isWritten: boolean): void;
  /** The rollout of the service's current order; undefined without an order. */
  getCurrent(service: string): Rollout | undefined;
  /** The rule of the service's current order; undefined without an order. */
  getRule(service: string): VersionRule | undefined;
  list(): readonly Rollout[];
}

export interface RolloutRecordsOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Called with each rollout that is new or has changed for this daemon. */
  readonly observe: (rollout: Rollout) => void;
}

/** Orders of one service that are remembered. */
const MAX_ORDERS_PER_SERVICE = 8;
/**
 * Part of an order's duration that is assumed to have passed when its start is unknown: the decision
 * then falls before the deadline, whenever in the first half the order was read.
 */
const ASSUMED_AGE_FRACTION = 0.5;

export function createRolloutRecords(options: RolloutRecordsOptions): RolloutRecords {
  const { clock, log, observe } = options;
  /** Rollouts of each service, the current one last. */
  const rolloutsByService = new Map<string, readonly Rollout[]>();
  const rulesByService = new Map<string, VersionRule>();
  return {
    receiveOrder,
    receiveRollout: merge,
    rollBack: (order) => {
      const known = find(order);
      if (known === undefined || isFinal(known.phase)) return;
      setRollout({ ...known, phase: RolloutPhase.RolledBack, isStored: false });
    },
    confirm,
    getCurrent: (service) => rolloutsByService.get(service)?.at(-1),
    getRule: (service) => rulesByService.get(service),
    list: () => [...rolloutsByService.values()].flat(),
  };

  function receiveOrder(order: RolloutOrder, point: StorePoint, isWatched: boolean): void {
    const assumedAgeMs = isWatched ? 0 : order.durationMs * ASSUMED_AGE_FRACTION;
    merge({
      order,
      phase: RolloutPhase.Ordered,
      isStored: false,
      startedAtMs: clock() - assumedAgeMs,
      isStartKnown: isWatched,
      currentAt: point,
    });
  }

  function merge(received: Rollout): void {
    const known = find(received.order);
    setRollout(known === undefined ? received : mergeRollouts(known, received));
  }

  function confirm(order: RolloutOrder, phase: RolloutPhase, isWritten: boolean): void {
    const known = find(order);
    if (known === undefined || (isFinal(known.phase) && (known.isStored || !isFinal(phase))))
      return;
    // An order without a status in the store has just been given.
    const isFirst = isWritten && known.phase === RolloutPhase.Ordered && !known.isStartKnown;
    const start = isFirst ? { startedAtMs: clock(), isStartKnown: true } : {};
    setRollout({ ...known, ...start, phase, isStored: true });
  }

  function find({ service, targetVersion }: RolloutOrder): Rollout | undefined {
    return rolloutsByService
      .get(service)
      ?.find(({ order }) => order.targetVersion === targetVersion);
  }

  function setRollout(rollout: Rollout): void {
    const { service, targetVersion } = rollout.order;
    const before = rolloutsByService.get(service) ?? [];
    const known = before.find(({ order }) => order.targetVersion === targetVersion);
    const others = before.filter((each) => each !== known);
    const next = [...others, rollout]
      .sort((left, right) => comparePoints(left.currentAt, right.currentAt))
      .slice(-MAX_ORDERS_PER_SERVICE);
    rolloutsByService.set(service, next);
    rulesByService.set(service, buildRule(next));
    const hasMoved = next.at(-1)?.order.targetVersion !== before.at(-1)?.order.targetVersion;
    if (!hasMoved && known !== undefined && !hasChanged(known, rollout)) return;
    log.info('rollout-changed', {
      service,
      targetVersion,
      phase: rollout.phase,
      isStored: rollout.isStored,
      isCurrent: next.at(-1) === rollout,
      durationMs: rollout.order.durationMs,
      ageMs: Math.round(clock() - rollout.startedAtMs),
    });
    observe(rollout);
  }
}

/** Merges what two daemons know of one order. */
export function mergeRollouts(known: Rollout, received: Rollout): Rollout {
  const isLater = comparePoints(received.currentAt, known.currentAt) > 0;
  const [latest, earlier] = isLater ? [received, known] : [known, received];
  const decided = computeCertainty(received) > computeCertainty(known) ? received : known;
  const { phase, isStored } = decided;
  const start = pickStart(known, received);
  return { ...earlier, ...latest, ...start, phase, isStored };
}

function pickStart(left: Rollout, right: Rollout): Pick<Rollout, 'startedAtMs' | 'isStartKnown'> {
  const both = [left, right];
  const known = both.filter(({ isStartKnown }) => isStartKnown);
  const candidates = known.length > 0 ? known : both;
  const startedAtMs = Math.min(...candidates.map((each) => each.startedAtMs));
  return { startedAtMs, isStartKnown: known.length > 0 };
}

/** A final phase in the store goes before a decision that is not stored yet, and that before others. */
function computeCertainty({ phase, isStored }: Rollout): number {
  if (isFinal(phase)) return isStored ? 4 : 3;
  if (phase === RolloutPhase.Running) return isStored ? 2 : 1;
  return 0;
}

function hasChanged(before: Rollout, after: Rollout): boolean {
  return (
    before.phase !== after.phase ||
    before.isStored !== after.isStored ||
    before.isStartKnown !== after.isStartKnown
  );
}

function buildRule(rollouts: readonly Rollout[]): VersionRule {
  const current = rollouts.at(-1) as Rollout;
  const earlier = rollouts.slice(0, -1);
  const lastSucceeded = earlier.findLast(({ phase }) => phase === RolloutPhase.Succeeded);
  const rejected = earlier.filter(({ phase }) => phase !== RolloutPhase.Succeeded);
  return {
    targetVersion: current.order.targetVersion,
    phase: current.phase,
    versionInForce: lastSucceeded?.order.targetVersion,
    rejectedVersions: new Set(rejected.map(({ order }) => order.targetVersion)),
  };
}
