/** One service that a route leads to, with its part of the route's calls. */
export interface RoutePart {
  readonly service: string;
  /** Parts of a route are compared by weight; 0 takes no calls. */
  readonly weight: number;
}

/** How calls to one host and path prefix are led. */
export interface RouteRule {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether a call may run more than once. */
  readonly idempotent: boolean;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer has its full worth, in milliseconds. */
  readonly targetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Most upstreams that one call may reach. */
  readonly maxAttempts: number;
  readonly parts: readonly RoutePart[];
}

/** What a caller may send, and how slowly. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One accepted version of the configuration, whole. */
export interface RelayConfiguration {
  readonly version: number;
  readonly routes: readonly RouteRule[];
  /** Names of all services, also of those that no route leads to. */
  readonly services: ReadonlySet<string>;
  readonly limits: CallerLimits;
  /** The JSON text that it was read from. */
  readonly source: string;
}

/** The life of an upstream beside this daemon, as the upstream itself last told it. */
export interface Upstream {
  readonly id: string;
  readonly service: string;
  /** Calls that it runs at once. */
  readonly capacity: number;
  readonly state: 'ready' | 'draining' | 'gone';
  /** When it started, in Unix milliseconds by its own clock. */
  readonly startedAtMs: number;
  /** Rises with each heartbeat of one life. */
  readonly sequence: number;
}

/** What an upstream tells of itself. */
export interface Heartbeat extends Upstream {
  /** `IP:PORT` at which it takes calls. */
  readonly address: string;
}

/** What other daemons are told of a gate. */
export interface GateReport {
  readonly service: string;
  readonly open: boolean;
  readonly capacity: number;
  /** Calls that run or wait. */
  readonly load: number;
  /** Mean time of a call in the upstream, in milliseconds. */
  readonly serviceMs: number;
  /** Part of recent calls that the upstream failed or turned away, 0 to 1. */
  readonly failureRate: number;
}

/** A daemon as another one knows it. */
export interface Member {
  readonly id: string;
  readonly dataCentre: string;
  /** Address of its link listener, `IP:PORT`. */
  readonly address: string;
}

/** A call as it goes from the entry to a gate. */
export interface GateCall {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, end to end only. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  /** Time left until the caller gives up, in milliseconds. */
  readonly remainingMs: number;
  /** Time left until the answer loses worth, in milliseconds; below 0 once it is late. */
  readonly targetMs: number;
  readonly priority: number;
  /** Calls of one kind take alike long in the upstream. */
  readonly kind: string;
  readonly idempotent: boolean;
  /** Whether a call that runs waits for this one, so that refusing it wastes that one's work. */
  readonly isNested: boolean;
}

/** A whole answer of an upstream. */
export interface Answer {
  readonly status: number;
  /** Alternating names and values, end to end only. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** Why a call was not run; none of these has reached an upstream's code. */
export const NotRunReason = {
  /** No configuration is held yet. */
  NoConfiguration: 'no-configuration',
  /** No gate of the service is known to be open. */
  NoUpstream: 'no-upstream',
  /** The gate's upstream is leaving, gone or unknown. */
  Closed: 'closed',
  /** It would be answered too late. */
  Busy: 'busy',
  /** More urgent work took the time that it was let in for. */
  Overtaken: 'overtaken',
  /** The upstream itself turned it away. */
  Shed: 'shed',
  /** No connection to the gate or the upstream could be had. */
  Unreachable: 'unreachable',
  /** The time was over before it could start. */
  Expired: 'expired',
  Cancelled: 'cancelled',
  /** This daemon is about to end. */
  Stopping: 'stopping',
} as const;
export type NotRunReason = (typeof NotRunReason)[keyof typeof NotRunReason];

/** Why the fate of a call is unknown: it was sent and no whole answer came. */
export const UnknownReason = {
  /** The connection to the upstream ended or brought something else. */
  Broken: 'broken',
  /** The link to the gate was lost. */
  LinkLost: 'link-lost',
  TimedOut: 'timed-out',
  Cancelled: 'cancelled',
} as const;
export type UnknownReason = (typeof UnknownReason)[keyof typeof UnknownReason];

/** How one attempt ended. */
export type AttemptEnd =
  | {
      readonly type: 'answered';
      readonly answer: Answer;
      /** Time in the upstream, in milliseconds. */
      readonly serviceMs: number;
      /** Wait for a slot, in milliseconds. */
      readonly queuedMs: number;
      /** Whether a call that the upstream made for this one was not served. */
      readonly nestedFailed: boolean;
    }
  | {
      readonly type: 'not-run';
      readonly reason: NotRunReason;
      /** When another try may find room, in milliseconds. */
      readonly retryAfterMs: number;
      /** Whether the refusal came from the upstream, so that it counts as an attempt there. */
      readonly reachedUpstream: boolean;
    }
  | { readonly type: 'unknown'; readonly reason: UnknownReason };

/** An attempt under way. */
export interface Attempt {
  readonly end: Promise<AttemptEnd>;
  /** The answer is no longer wanted; the attempt ends soon. */
  cancel(): void;
}

/** Names of the header fields by which callers and upstreams are spoken to, in lower case. */
export interface HeaderNames {
  readonly callId: string;
  /** Time left in milliseconds. */
  readonly deadline: string;
  /** Upstream life that a request is meant for. */
  readonly upstreamId: string;
  /** Service beside whose upstream the call began. */
  readonly callerService: string;
  /** Present in each whole answer of an upstream's own. */
  readonly signature: string;
  /** Present in an answer by which an upstream says that it did not run the request. */
  readonly notRun: string;
  /** Id of the call that an upstream was running when it made this one; undefined when it tells none. */
  readonly parseParentId: (callId: string) => string | undefined;
}

export function buildNotRun(
  reason: NotRunReason,
  retryAfterMs = 0,
  reachedUpstream = false,
): AttemptEnd {
  return { type: 'not-run', reason, retryAfterMs, reachedUpstream };
}
