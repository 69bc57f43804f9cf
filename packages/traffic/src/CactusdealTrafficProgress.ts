/** What a gate has seen of the pace of its upstream, by class. */
export interface Progress {
  record(className: string, sentAtMs: number, latencyMs: number): void;
  /** Silence after which a call of the class is looked into, in milliseconds. */
  getStallMs(className: string): number;
  /** Whether a call that was sent later than `sentAtMs` has been answered. */
  hasOvertaken(sentAtMs: number): boolean;
}

const MIN_STALL_MS = 1000;
const STALL_FACTOR = 10;
const LATENCY_WEIGHT = 0.2;

/** Creates a record of an upstream of which nothing is known. */
export function createProgress(): Progress {
  const peaks = new Map<string, number>();
  let latestSentAtMs = -Infinity;
  return {
    record: (className, sentAtMs, latencyMs) => {
      latestSentAtMs = Math.max(latestSentAtMs, sentAtMs);
      const peakMs = peaks.get(className) ?? 0;
      const nextMs =
        latencyMs > peakMs ? latencyMs : peakMs + LATENCY_WEIGHT * (latencyMs - peakMs);
      peaks.set(className, nextMs);
    },
    getStallMs: (className) => Math.max(MIN_STALL_MS, STALL_FACTOR * (peaks.get(className) ?? 0)),
    hasOvertaken: (sentAtMs) => latestSentAtMs > sentAtMs,
  };
}
