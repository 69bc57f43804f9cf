/** An operator's order to move the calls of a service to upstreams of another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  /** Time from the order within which it has to be decided, in milliseconds. */
  readonly durationMs: number;
}

/** How far a rollout has come. */
export const RolloutPhase = {
  /** Known from the store; its status is not known yet, so that the target gets no calls. */
  Ordered: 'ordered',
  /** A small share of the calls goes to the target version. */
  Running: 'running',
  Succeeded: 'succeeded',
  RolledBack: 'rolled-back',
} as const;
export type RolloutPhase = (typeof RolloutPhase)[keyof typeof RolloutPhase];

/** A point in the store's history; points of a later era are later. */
export interface StorePoint {
  readonly era: number;
  readonly revision: number;
}

/**
 * What a daemon knows of an order. A version is ordered once for a service: its final phase never
 * changes, even if another version is ordered in between.
 */
export interface Rollout {
  readonly order: RolloutOrder;
  readonly phase: RolloutPhase;
  /** Whether the store holds this phase; a final phase that it holds is binding for all daemons. */
  readonly isStored: boolean;
  /** When the order was given, by this daemon's clock. */
  readonly startedAtMs: number;
  /** False while the start is only assumed, as this daemon read the order some time after it. */
  readonly isStartKnown: boolean;
  /** Latest point at which the order was the service's current one. */
  readonly currentAt: StorePoint;
}

/** Which versions the calls of a service may reach. */
export interface VersionRule {
  readonly targetVersion: string;
  readonly phase: RolloutPhase;
  /** Target of the last rollout before this one that succeeded; undefined if there was none. */
  readonly versionInForce: string | undefined;
  /** Targets of other rollouts that did not succeed. */
  readonly rejectedVersions: ReadonlySet<string>;
}

export function isFinal(phase: RolloutPhase): boolean {
  return phase === RolloutPhase.Succeeded || phase === RolloutPhase.RolledBack;
}

/** Positive if `left` is later in the store's history than `right`, 0 if they are the same. */
export function comparePoints(left: StorePoint, right: StorePoint): number {
  return left.era === right.era ? left.revision - right.revision : left.era - right.era;
}
