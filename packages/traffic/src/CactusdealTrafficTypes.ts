import type { Snapshot } from '@cactusdeal/schema';
import type { Failure } from '@cactusdeal/shared';

/** A daemon that stands before one upstream and takes calls for it. */
export interface Gate {
  readonly memberId: string;
  readonly worker: string;
  readonly dataCentre: string;
  /** Address of the daemon's call listener. */
  readonly address: string;
  readonly slots: number;
  /** When the upstream became ready, in milliseconds by its daemon's clock. */
  readonly readyAtMs: number;
}

/** The gates that may get new calls now. Starting, draining and gone upstreams are not among them. */
export interface Directory {
  /** Gates of this data centre for the service. */
  findLocal(service: string): readonly Gate[];
  /** Gates of other data centres for the service, a few of each. */
  findRemote(service: string): readonly Gate[];
}

/** The upstream beside this daemon, as it last announced itself. */
export interface LocalWorker {
  readonly name: string;
  readonly address: string;
  readonly services: readonly string[];
  readonly slots: number;
  readonly state: 'starting' | 'ready' | 'draining' | 'gone';
}

/** Where the traffic parts find the configuration in force. */
export type GetSnapshot = () => Snapshot;

/**
 * Why a call got no answer from its upstream. Sent as the header `cactusdeal-refusal` beside the
 * header `cactusdeal-outcome`, whose values are those of `CallOutcome`.
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

/** What a caller may believe of its call. */
export const CallOutcome = {
  /** No byte of the request can have reached the upstream's code. */
  NotRun: 'not-run',
  /** Another attempt with the same idempotency key is running now. */
  Running: 'running',
  /** The upstream answered; for a resent key, the first attempt was answered. */
  Completed: 'completed',
  /** The request may have run. */
  Unknown: 'unknown',
} as const;
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

/** A call that the system answers itself. */
export interface Refusal extends Failure<RefusalKind> {
  readonly outcome: CallOutcome;
  /** HTTP status that goes with it. */
  readonly status: number;
  /** When a retry may succeed, in milliseconds; undefined when it will not. */
  readonly retryAfterMs?: number;
}
