import type { Clock } from '@cactusdeal/shared';
import { PIECE_BYTES } from './CactusdealRelayLinkWriter.js';
import { createServiceTimes, type ServiceTimes } from './CactusdealRelayServiceTimes.js';

/** Latency of one gate as an entry has observed it. */
export interface GateLatency {
  /**
   * Records an answered call: its total, service and queueing time, in milliseconds.
   */
  recordAnswer(
    kind: string,
    elapsedMs: number,
    serviceMs: number,
    queuedMs: number,
    circumstances?: Circumstances,
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
  /** Expected time for a body of this size on the way to the gate, in milliseconds; 0 for a small one. */
  getTransferMs(bodyBytes: number): number;
}

/** Under which circumstances a call was answered. */
export interface Circumstances {
  /** By how much the upstream was slower than usual because it was warming up. */
  readonly slowFactor: number;
  readonly bodyBytes: number;
}

const USUAL: Circumstances = { slowFactor: 1, bodyBytes: 0 };

/** Weight of a new sample in the moving average of the overhead. */
const SMOOTHING_WEIGHT = 0.2;
/** Time for each byte of a large body before there are samples, in milliseconds: 7 Mbit/s. */
const INITIAL_MS_PER_BYTE = 8 / 7_000;
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
  let msPerByte = INITIAL_MS_PER_BYTE;
  return {
    recordAnswer: (kind, elapsedMs, serviceMs, queuedMs, { slowFactor, bodyBytes } = USUAL) => {
      answeredKinds.add(kind);
      times.record(kind, serviceMs / slowFactor);
      recordTransit(Math.max(0, elapsedMs - serviceMs - queuedMs), bodyBytes);
    },
    recordFailed: (kind, elapsedMs, serviceMs, queuedMs, { slowFactor, bodyBytes } = USUAL) => {
      times.recordFailed(kind, serviceMs / slowFactor);
      recordTransit(Math.max(0, elapsedMs - serviceMs - queuedMs), bodyBytes);
    },
    recordAbandoned: (kind, elapsedMs) => {
      const expectedMs = times.estimate(kind, elapsedMs);
      if (elapsedMs > expectedMs * ABANDONED_FACTOR) recordOverhead(elapsedMs - expectedMs);
    },
    getServiceMs: (kind) => (answeredKinds.has(kind) ? times.estimate(kind, Infinity) : undefined),
    getOverheadMs: getDecayedOverheadMs,
    getTransferMs: (bodyBytes) => (isLarge(bodyBytes) ? bodyBytes * msPerByte : 0),
  };

  function getDecayedOverheadMs(): number {
    return overheadMs * 0.5 ** ((clock() - sampledAtMs) / OVERHEAD_HALF_LIFE_MS);
  }

  /** The time of a large body on its way says nothing of that of small calls. */
  function recordTransit(transitMs: number, bodyBytes: number): void {
    if (!isLarge(bodyBytes)) {
      recordOverhead(transitMs);
      return;
    }
    const sampleMs = Math.max(0, transitMs - getDecayedOverheadMs()) / bodyBytes;
    msPerByte += SMOOTHING_WEIGHT * (sampleMs - msPerByte);
  }

  function recordOverhead(sampleMs: number): void {
    const decayedMs = getDecayedOverheadMs();
    overheadMs = decayedMs + SMOOTHING_WEIGHT * (sampleMs - decayedMs);
    sampledAtMs = clock();
  }
}

/** Whether a body crosses links in pieces. */
function isLarge(bodyBytes: number): boolean {
  return bodyBytes > PIECE_BYTES;
}
