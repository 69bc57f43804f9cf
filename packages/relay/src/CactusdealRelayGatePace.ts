import type { Clock } from '@cactusdeal/shared';
import { createServiceTimes, type ServiceTimes } from './CactusdealRelayServiceTimes.js';

/** What an entry has seen of the time that one gate takes. */
export interface GatePace {
  /** Takes in an answered call; all times in milliseconds. */
  recordAnswer(kind: string, elapsedMs: number, serviceMs: number, queuedMs: number): void;
  /** Takes in a call that was given up after a time without an answer. */
  recordGivenUp(kind: string, elapsedMs: number): void;
  /** Expected time in the upstream; undefined while no call of the kind was answered. */
  getServiceMs(kind: string): number | undefined;
  /** Time that the way there and back and the daemon itself take besides. */
  getOverheadMs(): number;
}

const WEIGHT = 0.2;
/** What was seen of a gate fades, so that it is tried again. */
const OVERHEAD_HALF_LIFE_MS = 2_000;
/** A call that was given up counts when it took this many times as long as it should. */
const GIVEN_UP_FACTOR = 2;

/** Creates the pace of a gate, of which nothing has been seen. */
export function createGatePace(clock: Clock): GatePace {
  const times: ServiceTimes = createServiceTimes();
  const known = new Set<string>();
  let overheadMs = 0;
  let seenAtMs = clock();
  return {
    recordAnswer: (kind, elapsedMs, serviceMs, queuedMs) => {
      known.add(kind);
      times.record(kind, serviceMs);
      recordOverhead(Math.max(0, elapsedMs - serviceMs - queuedMs));
    },
    recordGivenUp: (kind, elapsedMs) => {
      const expectedMs = times.estimate(kind, elapsedMs);
      if (elapsedMs > expectedMs * GIVEN_UP_FACTOR) recordOverhead(elapsedMs - expectedMs);
    },
    getServiceMs: (kind) => (known.has(kind) ? times.estimate(kind, Infinity) : undefined),
    getOverheadMs: getFaded,
  };

  function getFaded(): number {
    return overheadMs * 0.5 ** ((clock() - seenAtMs) / OVERHEAD_HALF_LIFE_MS);
  }

  function recordOverhead(sampleMs: number): void {
    const fadedMs = getFaded();
    overheadMs = fadedMs + WEIGHT * (sampleMs - fadedMs);
    seenAtMs = clock();
  }
}
