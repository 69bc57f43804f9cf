/** One request that the upstream stand-in began to run. Times are wall-clock milliseconds. */
export interface UpstreamRecord {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly idempotencyKey: string | undefined;
  readonly startedAtMs: number;
  /** Undefined while the request runs. */
  endedAtMs: number | undefined;
  /** Requests in flight in this upstream when this one started, itself included. */
  readonly concurrent: number;
  /** Whether the connection closed before the complete response was written. */
  wasCutOff: boolean;
  /** Bytes of the request body that arrived. */
  bodyBytes: number;
}

/** Faults and state of an upstream stand-in. `POST /control` changes the fields in its JSON body. */
export interface UpstreamBehaviour {
  /** Multiplies the service time. */
  slowFactor: number;
  /**
   * What `GET /healthz` reports: `ok` with a load of 0 whatever the load is, or `failing`. Undefined
   * reports `ok` with the real load.
   */
  claimedHealth: 'ok' | 'failing' | undefined;
  /** Responds 503 without running the request. */
  isRefusing: boolean;
  /** Exits abruptly when the path of a request starts with this text. */
  crashPath: string | null | undefined;
  /** Exits abruptly when a chunk of a request body contains this text. */
  crashBody: string | null | undefined;
  /** Runs requests but withholds their responses until this is false again. */
  isHolding: boolean;
  /** Sends half of each response body, then resets the connection. */
  isCuttingShort: boolean;
  /** Runs requests and never responds to them. */
  isSilent: boolean;
  /** State that it announces. The stand-in runs requests in every state, also while draining. */
  state: 'starting' | 'ready' | 'draining';
  /** Stops renewing its announcement without telling the daemon that it leaves. */
  isMute: boolean;
}

/** Body of the response to `GET /control/records`. */
export interface UpstreamReport {
  readonly name: string;
  readonly startedAtMs: number;
  readonly records: readonly UpstreamRecord[];
  /** Largest number of concurrent requests so far. */
  readonly highWater: number;
  /** Largest number of open connections so far. */
  readonly connectionHighWater: number;
  /** Announcements that the daemon refused or did not respond to. */
  readonly announceFailures: number;
}

/** Body of a response of the upstream stand-in. */
export interface UpstreamResponseBody {
  readonly requestId: string;
  readonly worker: string;
  readonly path: string;
  readonly bodyBytes: number;
  /** SHA-256 of the request body, in hexadecimal. */
  readonly bodyHash: string;
  /** As many bytes as the request header `x-answer-bytes` asked for. */
  readonly filler: string;
}

/** Request headers that the upstream stand-in reads; it also returns the request id. */
export const UpstreamHeader = {
  RequestId: 'x-request-id',
  IdempotencyKey: 'idempotency-key',
  /** Bytes of filler to put into the response body. */
  AnswerBytes: 'x-answer-bytes',
  /** Service time in milliseconds, in place of the upstream's default. */
  ServiceMs: 'x-service-ms',
} as const;
