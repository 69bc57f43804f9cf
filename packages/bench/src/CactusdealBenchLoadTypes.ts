/** One class of calls in a load; also the keys of a `[[class]]` table in a load plan. */
export interface LoadClass {
  readonly name: string;
  /** Mean rate; the times between arrivals are exponentially distributed. */
  readonly callsPerSecond: number;
  readonly method: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE';
  readonly path: string;
  readonly bodyBytes: number;
  /** Whether each call carries an idempotency key of its own. */
  readonly isKeyed: boolean;
  /** Time after which the caller gives up, in milliseconds. */
  readonly deadlineMs: number;
  /** Additional header fields of every call. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** One planned call with its scheduled send time. */
export interface Arrival {
  /** Milliseconds from the start of the load. */
  readonly atMs: number;
  /** Index of the call within its class, from 0. */
  readonly index: number;
  readonly loadClass: LoadClass;
}

/** Outcome of a call, as its caller saw it. */
export interface CallOutcome {
  /**
   * `ok`, the kind of a refusal, `status-` and the HTTP status, `timeout`, or the text of an error.
   */
  readonly label: string;
  /** Whether the caller received a complete, successful answer. */
  readonly isSuccess: boolean;
}

/** Latency percentiles in milliseconds, measured from the scheduled time of each call. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
}

/** Results of the calls of one class. */
export interface ClassResult {
  readonly name: string;
  readonly sent: number;
  /** Number of successful calls. */
  readonly good: number;
  /** Goodput: successful calls per second. */
  readonly goodPerSecond: number;
  /** Number of calls by the label of their outcome. */
  readonly endings: Readonly<Record<string, number>>;
  /** Latency of the successful calls. */
  readonly latency: LatencySummary;
  /** Latency of the failed calls. */
  readonly failureLatency: LatencySummary;
  /**
   * Delay between scheduled and actual send time; high values mean that the load tool is
   * overloaded.
   */
  readonly sendDelay: LatencySummary;
}

/** Results of a load. */
export interface LoadResult {
  readonly durationMs: number;
  readonly classes: readonly ClassResult[];
}
