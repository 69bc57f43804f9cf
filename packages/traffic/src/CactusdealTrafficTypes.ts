import type { Snapshot } from '@cactusdeal/schema';
import type { Failure } from '@cactusdeal/shared';

/** A daemon that accepts calls for the one upstream behind it. */
export interface Gate {
  readonly memberId: string;
  readonly worker: string;
  readonly dataCentre: string;
  /** Address of the daemon's call listener. */
  readonly address: string;
  readonly slots: number;
  /** When the upstream became ready, in milliseconds of its daemon's clock. */
  readonly readyAtMs: number;
}

/** The gates that may receive new calls; excludes starting, draining and gone upstreams. */
export interface Directory {
  /** Gates of this data centre for the service. */
  findLocal(service: string): readonly Gate[];
  /** Gates of other data centres for the service, some of each data centre. */
  findRemote(service: string): readonly Gate[];
}

/** The upstream of this daemon's gate, as it last announced itself. */
export interface LocalWorker {
  readonly name: string;
  readonly address: string;
  readonly services: readonly string[];
  readonly slots: number;
  readonly state: 'starting' | 'ready' | 'draining' | 'gone';
}

/** Returns the configuration in force. */
export type GetSnapshot = () => Snapshot;

/**
 * Why a call was refused. Sent as the header `cactusdeal-refusal`, together with the header
 * `cactusdeal-outcome`, whose values are those of `CallOutcome`.
 */
export const RefusalKind = {
  NoRoute: 'NoRoute',
  NoUpstream: 'NoUpstream',
  QueueFull: 'QueueFull',
  DeadlineUnmeetable: 'DeadlineUnmeetable',
  DeadlinePassed: 'DeadlinePassed',
  Shed: 'Shed',
  Draining: 'Draining',
  Quarantined: 'Quarantined',
  BodyTooLarge: 'BodyTooLarge',
  KeyMissing: 'KeyMissing',
  KeyExpired: 'KeyExpired',
  KeyClaimed: 'KeyClaimed',
  ClaimUnavailable: 'ClaimUnavailable',
  BudgetExhausted: 'BudgetExhausted',
  UpstreamFailed: 'UpstreamFailed',
  ConnectionSilent: 'ConnectionSilent',
  Cancelled: 'Cancelled',
} as const;
export type RefusalKind = (typeof RefusalKind)[keyof typeof RefusalKind];

/** What the caller may assume about the execution of its call. */
export const CallOutcome = {
  /** No byte of the request can have reached the upstream's code. */
  NotRun: 'not-run',
  /** Another attempt with the same idempotency key is running now. */
  Running: 'running',
  /** The upstream answered; for a resent idempotency key, an earlier attempt was answered. */
  Completed: 'completed',
  /** The request may have run. */
  Unknown: 'unknown',
} as const;
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

/** The response that a daemon generates itself instead of an upstream's. */
export interface Refusal extends Failure<RefusalKind> {
  readonly outcome: CallOutcome;
  /** HTTP status of the response. */
  readonly status: number;
  /** Delay in milliseconds after which a retry may succeed; undefined if no retry is advised. */
  readonly retryAfterMs?: number;
}
