import type { CrashNotice } from '@cactusdeal/quarantine';
import type { JsonDocument } from './CactusdealRelayDocument.js';

/** A service that a route sends calls to, with its share of them. */
export interface RouteDestination {
  readonly service: string;
  /** Share relative to the route's other services; 0 gets no calls. */
  readonly weight: number;
}

/** How calls to one host and path prefix are routed. */
export interface RouteRule {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /**
   * Whether a call may safely run more than once, so that it may be retried after it may have run.
   */
  readonly idempotent: boolean;
  /** Whether its answers are so large that their transfer time matters. */
  readonly hasLargeAnswers: boolean;
  /** Whether its bodies are so large that their transfer time matters. */
  readonly hasLargeBodies: boolean;
  /** Whether a call needs no API key although the configuration has organisations. */
  readonly isPublic: boolean;
  /** Time after which the caller gets an error, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency target, in milliseconds: a later answer is worth less to the caller. */
  readonly targetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Most upstreams that one call may reach. */
  readonly maxAttempts: number;
  readonly destinations: readonly RouteDestination[];
}

/** An organisation whose callers share one quota. */
export interface OrganisationRule {
  readonly name: string;
  /** API keys of its callers. */
  readonly keys: readonly string[];
  /** 0 is the most urgent; goes before the priority of the route. */
  readonly priority: number;
  /** Calls per second over all daemons together; 0 for no limit. */
  readonly callsPerSecond: number;
  /** Calls that may be made at once beyond `callsPerSecond`. */
  readonly burst: number;
}

/** Limits on the size and pace of callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One accepted version of the configuration, complete. */
export interface RelayConfiguration {
  readonly version: number;
  readonly routes: readonly RouteRule[];
  /** Names of all services, including those without a route. */
  readonly services: ReadonlySet<string>;
  readonly limits: CallerLimits;
  /** Undefined if calls need no API key and have no organisation. */
  readonly organisations: readonly OrganisationRule[] | undefined;
  /** What in the document this release does not know, with the safe meaning that it was given. */
  readonly warnings: readonly string[];
  /** The JSON text that it was decoded from, or an equal one. */
  readonly source: string;
  /** What it was decoded from, parsed; undefined if the source of configurations has only texts. */
  readonly document?: JsonDocument | undefined;
}

/**
 * The upstream on this host, by its last heartbeat. Each start of the upstream is a new instance.
 */
export interface Upstream {
  readonly id: string;
  readonly service: string;
  /** Number of calls that it can run concurrently. */
  readonly capacity: number;
  /** Once it says in an answer that it is `leaving`, no heartbeat makes it `ready` again. */
  readonly state: 'ready' | 'draining' | 'leaving' | 'gone';
  /** Start of the instance, in Unix milliseconds by the upstream's clock. */
  readonly startedAtMs: number;
  /** Increases with each heartbeat of one instance. */
  readonly sequence: number;
  /** Version of its software; undefined if it does not name it. */
  readonly softwareVersion?: string | undefined;
  /** How much longer it is slow after its start, in milliseconds; undefined if it does not name it. */
  readonly warmUpLeftMs?: number | undefined;
}

/** Whether both are states of one instance. */
export function isSameInstance(left: Upstream | undefined, right: Upstream): boolean {
  return left?.id === right.id && left.startedAtMs === right.startedAtMs;
}

/** The limit that an instance of an upstream names. */
export interface NamedLimit extends Pick<Upstream, 'id' | 'startedAtMs'> {
  /** Calls per second that it takes from all daemons together. */
  readonly callsPerSecond: number;
}

/** The limits of upstreams, by the id of the daemon beside them, as passed on to this daemon's callers. */
export interface LimitExchange {
  readonly getLimit: (memberId: string) => NamedLimit | undefined;
  /** Records the limit after an answer; undefined if there is none. */
  readonly recordLimit: (memberId: string, limit: NamedLimit | undefined) => void;
}

/** Exchange of departing upstreams with each linked daemon. */
export interface DepartureExchange {
  /** The last known departure of each id of the upstreams beside the daemon. */
  readonly listDepartures: (memberId: string) => readonly Upstream[];
  readonly receiveDeparture: (memberId: string, departure: Upstream) => void;
}

/** Exchange of what is known of calls that crash upstreams, with each linked daemon. */
export interface CrashNoticeExchange {
  /** What a daemon is told when a link opens. */
  readonly listCrashNotices: () => readonly CrashNotice[];
  readonly receiveCrashNotices: (notices: readonly CrashNotice[]) => void;
}

/** A heartbeat sent by an upstream. */
export interface Heartbeat extends Upstream {
  /** `IP:PORT` on which it accepts calls. */
  readonly address: string;
}

/** State of a gate as reported to other daemons. */
export interface GateReport {
  readonly service: string;
  readonly open: boolean;
  /** Number of slots; a fraction may remain while the upstream limits its calls per second. */
  readonly capacity: number;
  /** Number of running and queued calls; while a rate limit binds, what its wait amounts to. */
  readonly load: number;
  /** Mean service time, in milliseconds. */
  readonly serviceMs: number;
  /**
   * Fraction of recent calls that the upstream failed or shed, or that did not reach it; 0 to 1.
   */
  readonly failureRate: number;
  /** How much longer its upstream is warming up, in milliseconds; undefined if it is not. */
  readonly warmUpLeftMs?: number | undefined;
  /** Version of the upstream's software; undefined if it does not name it. */
  readonly softwareVersion?: string | undefined;
}

/** A daemon, as other daemons know it. */
export interface Member {
  readonly id: string;
  readonly dataCentre: string;
  /** Service of the upstream on its host, by its settings. */
  readonly service: string;
  /** Address of its link listener, `IP:PORT`. */
  readonly address: string;
}

/** A call as an entry sends it to a gate. */
export interface GateCall {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values; end-to-end fields only. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  /** Time left until the caller stops waiting, in milliseconds. */
  readonly remainingMs: number;
  /** Time left until the latency target, in milliseconds; negative once it has passed. */
  readonly targetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Calls of one kind are assumed to have similar service times. */
  readonly kind: string;
  readonly idempotent: boolean;
  /**
   * Whether a running call depends on this one, so that refusing it wastes the work already done.
   */
  readonly isNested: boolean;
  /** Name of the caller's organisation; undefined if it has none. */
  readonly organisation?: string | undefined;
}

/** A complete response of an upstream. */
export interface Answer {
  readonly status: number;
  /** Alternating names and values, as received. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** Why a call was not run: no byte of it has reached the upstream's code. */
export const NotRunReason = {
  /** The daemon has no configuration yet. */
  NoConfiguration: 'no-configuration',
  /** No eligible gate of the service is known. */
  NoUpstream: 'no-upstream',
  /** Bodies of other calls leave no memory for that of this one. */
  NoMemory: 'no-memory',
  /** The gate's upstream is draining, gone or unknown, or the gate is stopping. */
  Closed: 'closed',
  /** The expected answer is too late for the call to be admitted. */
  Busy: 'busy',
  /** Evicted from the queue, because more urgent or unexpectedly slow calls delayed it too long. */
  Overtaken: 'overtaken',
  /** Calls like it were running when upstreams crashed. */
  Quarantined: 'quarantined',
  /** The upstream refused it without running it. */
  Shed: 'shed',
  /** The gate or the upstream could not be connected to. */
  Unreachable: 'unreachable',
  /** It was late on the link, and the daemon that sent it did not confirm that it is wanted. */
  Unconfirmed: 'unconfirmed',
  /** The deadline passed before it could start. */
  Expired: 'expired',
  /** Cancelled before it started. */
  Cancelled: 'cancelled',
  /** This daemon is stopping. */
  Stopping: 'stopping',
} as const;
export type NotRunReason = (typeof NotRunReason)[keyof typeof NotRunReason];

/** Why it is unknown whether a call has run: it was sent, but no complete answer arrived. */
export const UnknownReason = {
  /** The connection to the upstream ended early, or its data was not a valid answer to the call. */
  Broken: 'broken',
  /** The link to the gate was lost. */
  LinkLost: 'link-lost',
  /** The deadline passed. */
  TimedOut: 'timed-out',
  Cancelled: 'cancelled',
  /** The entry's daemon stopped before the answer arrived. */
  Stopped: 'stopped',
} as const;
export type UnknownReason = (typeof UnknownReason)[keyof typeof UnknownReason];

/** How one attempt ended. */
export type AttemptEnd =
  | {
      readonly type: 'answered';
      readonly answer: Answer;
      /** Service time, in milliseconds. */
      readonly serviceMs: number;
      /** Queueing delay at the gate, in milliseconds. */
      readonly queuedMs: number;
      /** Whether a nested call that the upstream made for this one failed. */
      readonly nestedFailed: boolean;
      /** The limit of the upstream; undefined if it names none. */
      readonly limit: NamedLimit | undefined;
    }
  | {
      readonly type: 'not-run';
      readonly reason: NotRunReason;
      /** Delay after which a retry may be admitted, in milliseconds. */
      readonly retryAfterMs: number;
      /** Whether the upstream itself refused, so that this counts as an attempt at an upstream. */
      readonly reachedUpstream: boolean;
    }
  | { readonly type: 'unknown'; readonly reason: UnknownReason };

/** How far a call had come when it was cancelled. */
export const CallStage = {
  /** Read by the entry and not routed. */
  Entry: 'entry',
  /** Read from a link and not served. */
  Link: 'link',
  /** Queued at the gate. */
  Queue: 'queue',
  /** Sent to the upstream. */
  Upstream: 'upstream',
} as const;
export type CallStage = (typeof CallStage)[keyof typeof CallStage];

/** An attempt in progress. */
export interface Attempt {
  readonly end: Promise<AttemptEnd>;
  /** Cancels the attempt; `end` still resolves. */
  cancel(): void;
}

/** Names of the header fields shared with callers and upstreams, in lower case. */
export interface HeaderNames {
  readonly callId: string;
  /** Time left in milliseconds. */
  readonly deadline: string;
  /** Id of the upstream instance that a request is meant for. */
  readonly upstreamId: string;
  /** Service of the upstream on the host where the call was made. */
  readonly callerService: string;
  /** Present in each complete response that the upstream itself made. */
  readonly signature: string;
  /** Present in a response by which the upstream says that it did not run the request. */
  readonly notRun: string;
  /** Present while the upstream limits the calls that it takes: a number of calls per second. */
  readonly limit: string;
  /** Present in a response of an upstream that is about to stop. */
  readonly leaving: string;
  /** Name of the caller's organisation, for upstreams. */
  readonly organisation: string;
  /**
   * Parses the id of the call for which the upstream made this one; undefined if the call is not
   * nested.
   */
  readonly parseParentId: (callId: string) => string | undefined;
}

export function buildNotRun(
  reason: NotRunReason,
  retryAfterMs = 0,
  reachedUpstream = false,
): AttemptEnd {
  return { type: 'not-run', reason, retryAfterMs, reachedUpstream };
}
