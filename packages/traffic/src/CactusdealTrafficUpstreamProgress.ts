/** Latencies and order of the responses of a gate's upstream, used to detect stalled calls. */
export interface UpstreamProgress {
  /** Records that the response to a call began. */
  record(className: string, sentAtMs: number, latencyMs: number): void;
  /** Time without a response after which a call of the class is checked, in milliseconds. */
  getStallTimeoutMs(className: string): number;
  /** Whether a call sent after `sentAtMs` has been answered. */
  hasAnsweredLaterCall(sentAtMs: number): boolean;
}

const MIN_STALL_TIMEOUT_MS = 1000;
const STALL_LATENCY_FACTOR = 10;
const LATENCY_GAIN = 0.2;

/** Creates a record without any responses. */
export function createUpstreamProgress(): UpstreamProgress {
  const peakLatencyMs = new Map<string, number>();
  let latestAnsweredSentAtMs = -Infinity;
  return {
    record: (className, sentAtMs, latencyMs) => {
      latestAnsweredSentAtMs = Math.max(latestAnsweredSentAtMs, sentAtMs);
      const peakMs = peakLatencyMs.get(className) ?? 0;
      const nextMs = latencyMs > peakMs ? latencyMs : peakMs + LATENCY_GAIN * (latencyMs - peakMs);
      peakLatencyMs.set(className, nextMs);
    },
    getStallTimeoutMs: (className) =>
      Math.max(MIN_STALL_TIMEOUT_MS, STALL_LATENCY_FACTOR * (peakLatencyMs.get(className) ?? 0)),
    hasAnsweredLaterCall: (sentAtMs) => latestAnsweredSentAtMs > sentAtMs,
  };
}
