import type { LogEntry, Plan, Snapshot, WorkerState } from '@cactusdeal/schema';
import type { Failure } from '@cactusdeal/shared';

/** Why an intent has no plan. Nothing was written. */
export const PlanFailureKind = {
  /** The intent does not fit the schema. */
  IntentInvalid: 'IntentInvalid',
  UnknownService: 'UnknownService',
  UnknownRoute: 'UnknownRoute',
  UnknownDataCentre: 'UnknownDataCentre',
  UnknownWorker: 'UnknownWorker',
  /** The worker serves other services than the intent says. */
  WorkerOfOtherService: 'WorkerOfOtherService',
  NotDrained: 'NotDrained',
  /** No ready worker of a service would be left. */
  CapacityLost: 'CapacityLost',
  /** Every data centre's weight of a service would be 0. */
  NoWeightLeft: 'NoWeightLeft',
  /** Routes or drains still name the service. */
  ServiceInUse: 'ServiceInUse',
  NoChange: 'NoChange',
  /** The version to go back to was never in force. */
  UnknownVersion: 'UnknownVersion',
  /** The version to go back to is older than what the platform keeps. */
  VersionTrimmed: 'VersionTrimmed',
  /** The result would break a rule of the configuration. */
  RuleBroken: 'RuleBroken',
  /** The plan exceeds the platform's largest value; it has to be split. */
  PlanTooLarge: 'PlanTooLarge',
} as const;
export type PlanFailureKind = (typeof PlanFailureKind)[keyof typeof PlanFailureKind];

export type PlanFailure = Failure<PlanFailureKind>;

/** Why a plan is not known to be accepted. */
export const ConfirmFailureKind = {
  /** No such plan; plans are kept for an hour. */
  PlanUnknown: 'PlanUnknown',
  /** Another change took the plan's version; a new plan is needed. */
  PlanStale: 'PlanStale',
  /** The stored plan cannot be read. */
  PlanUnreadable: 'PlanUnreadable',
  /** The log lacks the version before the plan's, so the platform is behind the daemon that planned. */
  LogIncomplete: 'LogIncomplete',
  /** The platform refused or is out; nothing was written. */
  NotDone: 'ConfirmNotDone',
  /** The plan may have been accepted; confirming it again settles that. */
  Unknown: 'ConfirmUnknown',
} as const;
export type ConfirmFailureKind = (typeof ConfirmFailureKind)[keyof typeof ConfirmFailureKind];

export type ConfirmFailure = Failure<ConfirmFailureKind>;

/** Why the configuration cannot be read from the platform. */
export const LoadFailureKind = {
  /** The platform gave no answer. */
  Unavailable: 'LoadUnavailable',
  /** What the platform holds does not fit together, for example a shard with another hash. */
  Corrupt: 'LoadCorrupt',
  /** The version is older than what the platform keeps. */
  Trimmed: 'LoadTrimmed',
  /** The version was never in force. */
  NeverInForce: 'LoadNeverInForce',
} as const;
export type LoadFailureKind = (typeof LoadFailureKind)[keyof typeof LoadFailureKind];

export type LoadFailure = Failure<LoadFailureKind>;

/** A worker as the planning daemon knows it. */
export interface KnownWorker {
  readonly name: string;
  readonly dataCentre: string;
  readonly services: readonly string[];
  readonly state: WorkerState;
  readonly slots: number;
}

/** What a plan is made from. */
export interface PlanContext {
  /** The snapshot in force, on which the plan builds. */
  readonly snapshot: Snapshot;
  /** Highest version seen, in force or rejected; the plan takes the next. */
  readonly headVersion: number;
  getWorkers(): readonly KnownWorker[];
  /** Data centres known to exist; weights are not checked against them when absent. */
  readonly dataCentres?: readonly string[];
  /** Content of an older version, for a revert. */
  readonly oldSnapshot?: Snapshot;
}

/** A plan that was accepted, with the entry that the log holds. */
export interface Acceptance {
  readonly plan: Plan;
  readonly entry: LogEntry;
}
