/** One request that the upstream's own code ran. Times are milliseconds of the wall clock. */
export interface UpstreamRecord {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly idempotencyKey: string | undefined;
  readonly startedAtMs: number;
  /** Undefined while it runs. */
  endedAtMs: number | undefined;
  /** Requests that ran in this upstream when this one started, itself included. */
  readonly concurrent: number;
  /** The connection went away before the whole answer was handed over. */
  wasCutOff: boolean;
  /** Bytes of the request's body that arrived. */
  bodyBytes: number;
}

/** How the upstream behaves from now on; changed by `POST /control` with any part of it. */
export interface UpstreamBehaviour {
  /** Multiplies the service time. */
  slowFactor: number;
  /** What `GET /healthz` claims; undefined tells the truth. */
  claimedHealth: 'ok' | 'failing' | undefined;
  /** Answers 503 without running the request. */
  isRefusing: boolean;
  /** Exits at once when a request's path starts with this. */
  crashPath: string | null | undefined;
  /** Exits at once when a request's body contains this. */
  crashBody: string | null | undefined;
  /** Runs requests but keeps their answers until this is false again. */
  isHolding: boolean;
  /** Sends half of each answer and resets the connection. */
  isCuttingShort: boolean;
  /** Runs requests and never answers them. */
  isSilent: boolean;
  /** State that it announces; draining also lets it refuse nothing and run what comes. */
  state: 'starting' | 'ready' | 'draining';
  /** Stops announcing itself, without leaving. */
  isMute: boolean;
}

/** Everything that `GET /control/records` tells. */
export interface UpstreamReport {
  readonly name: string;
  readonly startedAtMs: number;
  readonly records: readonly UpstreamRecord[];
  /** Most requests that ran at once. */
  readonly highWater: number;
  /** Connections that were open at once, at most. */
  readonly connectionHighWater: number;
  readonly announceFailures: number;
}

/** Body of an upstream's answer. */
export interface UpstreamResponseBody {
  readonly requestId: string;
  readonly worker: string;
  readonly path: string;
  readonly bodyBytes: number;
  /** SHA-256 of the request's body, in hexadecimal. */
  readonly bodyHash: string;
  readonly filler: string;
}

/** Headers that the upstream stand-in and its callers use. */
export const UpstreamHeader = {
  RequestId: 'x-request-id',
  IdempotencyKey: 'idempotency-key',
  /** Bytes of filler that the answer should carry. */
  AnswerBytes: 'x-answer-bytes',
  /** Service time in milliseconds in place of the upstream's own. */
  ServiceMs: 'x-service-ms',
} as const;
