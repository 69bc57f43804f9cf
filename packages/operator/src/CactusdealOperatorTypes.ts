import type { LogEntry, Plan, Snapshot, WorkerState } from '@cactusdeal/schema';
import type { Failure } from '@cactusdeal/shared';

/** Why no plan was made from an intent. Nothing was written. */
export const PlanFailureKind = {
  /** The intent does not match the schema. */
  IntentInvalid: 'IntentInvalid',
  UnknownService: 'UnknownService',
  UnknownRoute: 'UnknownRoute',
  UnknownDataCentre: 'UnknownDataCentre',
  UnknownWorker: 'UnknownWorker',
  /** The worker does not serve the service that the intent names. */
  WorkerOfOtherService: 'WorkerOfOtherService',
  NotDrained: 'NotDrained',
  /** A drain would leave a service without a ready worker known to this daemon. */
  CapacityLost: 'CapacityLost',
  /** A service's weight would be 0 in every data centre. */
  NoWeightLeft: 'NoWeightLeft',
  /** Routes or drains still refer to a service that would not exist. */
  ServiceInUse: 'ServiceInUse',
  /** The version in force has the requested content already. */
  NoChange: 'NoChange',
  /** The version to revert to was never in force. */
  UnknownVersion: 'UnknownVersion',
  /** The version to revert to is older than the oldest one that the platform keeps. */
  VersionTrimmed: 'VersionTrimmed',
  /** The resulting snapshot would break a rule of the configuration. */
  RuleBroken: 'RuleBroken',
  /** The plan exceeds the platform's size limit for one value; the intent has to be split. */
  PlanTooLarge: 'PlanTooLarge',
} as const;
export type PlanFailureKind = (typeof PlanFailureKind)[keyof typeof PlanFailureKind];

export type PlanFailure = Failure<PlanFailureKind>;

/** Why a confirmation did not accept the plan, or cannot tell whether it did. */
export const ConfirmFailureKind = {
  /** The plan does not exist or has expired; plans are kept for one hour. */
  PlanUnknown: 'PlanUnknown',
  /** Another plan was accepted under the version; a new plan is needed. */
  PlanStale: 'PlanStale',
  /** The stored plan does not match the schema. */
  PlanUnreadable: 'PlanUnreadable',
  /** The log lacks the version before the plan's: the platform is behind the daemon that planned. */
  LogIncomplete: 'LogIncomplete',
  /** The platform refused the call or is not available; nothing was written. */
  NotDone: 'ConfirmNotDone',
  /** The plan may or may not have been accepted; confirming it again tells which. */
  Unknown: 'ConfirmUnknown',
} as const;
export type ConfirmFailureKind = (typeof ConfirmFailureKind)[keyof typeof ConfirmFailureKind];

export type ConfirmFailure = Failure<ConfirmFailureKind>;

/** Why a configuration could not be loaded from the platform. */
export const LoadFailureKind = {
  /** A platform call failed or had no answer. */
  Unavailable: 'LoadUnavailable',
  /** The stored data is inconsistent, for example a shard that does not match its hash. */
  Corrupt: 'LoadCorrupt',
  /** The version is older than the oldest one that the platform keeps. */
  Trimmed: 'LoadTrimmed',
  /** The version was rejected or never accepted. */
  NeverInForce: 'LoadNeverInForce',
} as const;
export type LoadFailureKind = (typeof LoadFailureKind)[keyof typeof LoadFailureKind];

export type LoadFailure = Failure<LoadFailureKind>;

/** What the planning daemon knows of a worker. */
export interface KnownWorker {
  readonly name: string;
  readonly dataCentre: string;
  readonly services: readonly string[];
  readonly state: WorkerState;
  readonly slots: number;
}

/** The state of the planning daemon from which a plan is made. */
export interface PlanContext {
  /** The snapshot in force, to which the plan's operations apply. */
  readonly snapshot: Snapshot;
  /** Highest version seen, in force or rejected; the plan's entry gets the next one. */
  readonly headVersion: number;
  getWorkers(): readonly KnownWorker[];
  /** Data centres known to exist; weights are not checked against them when absent. */
  readonly dataCentres?: readonly string[];
  /** Snapshot of the version to revert to. */
  readonly oldSnapshot?: Snapshot;
}

/** An accepted plan with its log entry. */
export interface Acceptance {
  readonly plan: Plan;
  readonly entry: LogEntry;
}
