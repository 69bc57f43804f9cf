/** One class of calls of a load. */
export interface LoadClass {
  readonly name: string;
  /** Mean rate; times between arrivals are exponential. */
  readonly callsPerSecond: number;
  readonly method: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE';
  readonly path: string;
  readonly bodyBytes: number;
  /** Whether each call carries an idempotency key of its own. */
  readonly isKeyed: boolean;
  /** Time that callers wait, in milliseconds. */
  readonly deadlineMs: number;
  /** Further header fields of every call. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** One call, with the time at which the plan wants it sent. */
export interface Arrival {
  /** Milliseconds from the start of the load. */
  readonly atMs: number;
  /** Counts the calls of its class from 0. */
  readonly index: number;
  readonly loadClass: LoadClass;
}

/** How a call ended, as its caller saw it. */
export interface CallEnding {
  /** `ok`, the kind of a refusal, a status or the code of an error. */
  readonly label: string;
  /** Whether the caller got the whole answer that it wanted. */
  readonly isGood: boolean;
}

/** Percentiles in milliseconds from the planned time of each call, so that none is left out. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
}

/** What became of the calls of one class. */
export interface ClassResult {
  readonly name: string;
  readonly sent: number;
  readonly good: number;
  readonly goodPerSecond: number;
  /** Number of calls by the label of their ending. */
  readonly endings: Readonly<Record<string, number>>;
  /** Of the calls that ended well. */
  readonly latency: LatencySummary;
  /** Of the calls that did not. */
  readonly failureLatency: LatencySummary;
  /** Time by which calls left later than planned: what the tool itself could not keep up with. */
  readonly sendDelay: LatencySummary;
}

/** What became of a load. */
export interface LoadResult {
  readonly durationMs: number;
  readonly classes: readonly ClassResult[];
}
