/** What the admission to the uplink needs to know about a call. Times are on the gate's clock. */
export interface UplinkRequest {
  readonly kind: string;
  /** The answer must be expected to have crossed the uplink by this time. */
  readonly latestAnswerAtMs: number;
}

/** Admission of calls with large answers by the time that their answers need on the uplink. */
export interface UplinkAdmission<T extends UplinkRequest> {
  /**
   * Time after which the uplink is expected to have capacity for a call that takes `serviceMs` at the upstream, in
   * milliseconds; 0 if it has capacity now.
   */
  computeWaitMs(call: T, serviceMs: number, nowMs: number): number;
  /** Counts the expected answer of an admitted call until `release`. */
  reserve(call: T): void;
  /** Ends the reservation of a call, if it has one; `answerBytes` is undefined without an answer. */
  release(call: T, answerBytes: number | undefined): void;
}

/** Answer size that is assumed before there are samples. */
const INITIAL_ANSWER_BYTES = 32 * 1024;
/** Weight of a new sample in the moving averages of the answer sizes. */
const SMOOTHING_WEIGHT = 0.08;
/** Part of the remaining time that may be planned; the rest is for answers larger than the average. */
const PLANNED_FRACTION = 0.9;
const MIN_RETRY_AFTER_MS = 30;

/** Whether the answers of a kind of calls are expected to be large. */
export function hasLargeAnswers(kind: string): boolean {
  return kind.split('/').includes('large');
}

/**
 * Creates the admission to an uplink that takes `bytesPerMs`; `countWaitingBytes` counts what waits to
 * be written.
 *
 * Load pattern: calls with large answers at twice the bandwidth of the uplink. Slots don't limit them,
 * as the upstream has ended its part long before the answer has crossed the uplink. A call is refused
 * on arrival if its answer would be late, so that the others are in time. If nothing waits, a call is
 * always admitted, so that too high an average is corrected.
 */
export function createUplinkAdmission<T extends UplinkRequest>(
  bytesPerMs: number,
  countWaitingBytes: () => number,
): UplinkAdmission<T> {
  const meansByKind = new Map<string, number>();
  const reservedBytes = new Map<T, number>();
  return {
    computeWaitMs,
    reserve: (call) => {
      if (hasLargeAnswers(call.kind)) reservedBytes.set(call, computeExpectedBytes(call.kind));
    },
    release: (call, answerBytes) => {
      if (!reservedBytes.delete(call) || answerBytes === undefined) return;
      const mean = meansByKind.get(call.kind) ?? answerBytes;
      meansByKind.set(call.kind, mean + SMOOTHING_WEIGHT * (answerBytes - mean));
    },
  };

  function computeExpectedBytes(kind: string): number {
    return meansByKind.get(kind) ?? INITIAL_ANSWER_BYTES;
  }

  function computeWaitMs(call: T, serviceMs: number, nowMs: number): number {
    if (!hasLargeAnswers(call.kind)) return 0;
    const reserved = [...reservedBytes.values()].reduce((sum, bytes) => sum + bytes, 0);
    const aheadMs = (countWaitingBytes() + reserved) / bytesPerMs;
    if (aheadMs === 0) return 0;
    const endMs = Math.max(serviceMs, aheadMs) + computeExpectedBytes(call.kind) / bytesPerMs;
    const excessMs = endMs - (call.latestAnswerAtMs - nowMs) * PLANNED_FRACTION;
    return excessMs > 0 ? Math.max(MIN_RETRY_AFTER_MS, Math.min(excessMs, aheadMs)) : 0;
  }
}
