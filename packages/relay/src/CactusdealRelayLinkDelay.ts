import type { Clock } from '@cactusdeal/shared';

/**
 * Measures how late the messages of one link are. Their sender names its own time, by a clock of which only
 * the pace is known; the fastest message so far tells how it differs from the clock here.
 */
export interface LinkDelay {
  /** Records the arrival of a message; times of sending are by the sender's clock. */
  recordArrival(sentAtMs: number): void;
  /**
   * Records the arrival of an answer to what was asked at `askedAtMs` by the clock here. It was sent since then,
   * which corrects what is known when the sender's clock has stood still.
   */
  recordAnswer(sentAtMs: number, askedAtMs: number): void;
  /** Time that has passed since a message would have arrived without delay, in milliseconds. */
  computeMs(sentAtMs: number): number;
}

/** Creates the measure of a link that has just opened; nothing is late before the first arrival. */
export function createLinkDelay(clock: Clock): LinkDelay {
  /** Difference of the clocks and the time on the way of the fastest message, in milliseconds. */
  let minOffsetMs = Infinity;
  return {
    recordArrival: (sentAtMs) => {
      minOffsetMs = Math.min(minOffsetMs, clock() - sentAtMs);
    },
    recordAnswer: (sentAtMs, askedAtMs) => {
      const largestMs = clock() - sentAtMs;
      const smallestMs = askedAtMs - sentAtMs;
      minOffsetMs = Math.max(smallestMs, Math.min(minOffsetMs, largestMs));
    },
    computeMs: (sentAtMs) => Math.max(0, clock() - sentAtMs - minOffsetMs),
  };
}
