import type { Clock } from '@cactusdeal/shared';
import { createServiceTimes, type ServiceTimes } from './CactusdealRelayServiceTimes.js';

/** Latency of one gate as an entry has observed it. */
export interface GateLatency {
  /**
   * Records an answered call: its total, service and queueing time, in milliseconds. `slowFactor` is by how
   * much the upstream is slower than usual because it is warming up.
   */
  recordAnswer(
    kind: string,
    elapsedMs: number,
    serviceMs: number,
    queuedMs: number,
    slowFactor?: number,
  ): void;
  /** The same for a call that the upstream answered with an error. */
  recordFailed: GateLatency['recordAnswer'];
  /** Records a call that was cancelled after `elapsedMs` without an answer. */
  recordAbandoned(kind: string, elapsedMs: number): void;
  /** Expected service time in milliseconds; undefined until a call of the kind was answered. */
  getServiceMs(kind: string): number | undefined;
  /**
   * Time beyond queueing and service time, in milliseconds: the network round trip and the gate's
   * daemon.
   */
  getOverheadMs(): number;
}

/** Weight of a new sample in the moving average of the overhead. */
const SMOOTHING_WEIGHT = 0.2;
/** The overhead decays without new samples, so that a gate which was slow is tried again. */
const OVERHEAD_HALF_LIFE_MS = 2_000;
/**
 * A cancelled call counts as a sample only if it took longer than this multiple of its expected
 * service time.
 */
const ABANDONED_FACTOR = 2;

/** Creates the latency record of a gate without samples. */
export function createGateLatency(clock: Clock): GateLatency {
  const times: ServiceTimes = createServiceTimes();
  const answeredKinds = new Set<string>();
  let overheadMs = 0;
  let sampledAtMs = clock();
  return {
    recordAnswer: (kind, elapsedMs, serviceMs, queuedMs, slowFactor = 1) => {
      answeredKinds.add(kind);
      times.record(kind, serviceMs / slowFactor);
      recordOverhead(Math.max(0, elapsedMs - serviceMs - queuedMs));
    },
    recordFailed: (kind, elapsedMs, serviceMs, queuedMs, slowFactor = 1) => {
      times.recordFailed(kind, serviceMs / slowFactor);
      recordOverhead(Math.max(0, elapsedMs - serviceMs - queuedMs));
    },
    recordAbandoned: (kind, elapsedMs) => {
      const expectedMs = times.estimate(kind, elapsedMs);
      if (elapsedMs > expectedMs * ABANDONED_FACTOR) recordOverhead(elapsedMs - expectedMs);
    },
    getServiceMs: (kind) => (answeredKinds.has(kind) ? times.estimate(kind, Infinity) : undefined),
    getOverheadMs: getDecayedOverheadMs,
  };

  function getDecayedOverheadMs(): number {
    return overheadMs * 0.5 ** ((clock() - sampledAtMs) / OVERHEAD_HALF_LIFE_MS);
  }

  function recordOverhead(sampleMs: number): void {
    const decayedMs = getDecayedOverheadMs();
    overheadMs = decayedMs + SMOOTHING_WEIGHT * (sampleMs - decayedMs);
    sampledAtMs = clock();
  }
}
