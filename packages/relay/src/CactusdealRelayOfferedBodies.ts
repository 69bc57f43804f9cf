import type { Clock } from '@cactusdeal/shared';
import type { Downlink } from './CactusdealRelayDownlink.js';
import type { OfferedBody } from './CactusdealRelayDownlinkSchedule.js';
import type { CallOffer } from './CactusdealRelayWire.js';

/** The large bodies that the daemon at the other end of one link has offered. */
export interface OfferedBodies {
  /** Accepts an offer; the time to come back after, in milliseconds, if the body would arrive too late. */
  offer(offer: CallOffer): number;
  /** Handles bytes of a body that have arrived. */
  receive(id: number, bytes: number): void;
  /** Removes the body of a call that has arrived or is no longer wanted; false if none was offered. */
  remove(id: number): boolean;
  /** Removes all of them. */
  close(): void;
}

export interface OfferedBodiesOptions {
  readonly downlink: Downlink;
  readonly clock: Clock;
  /** Expected time of the call at the upstream, in milliseconds. */
  readonly estimateServiceMs: (offer: CallOffer) => number;
  /** Tells the other daemon how much more it may send. */
  readonly grant: (id: number, bytes: number) => void;
}

/** Creates the record of a link that has just opened. */
export function createOfferedBodies(options: OfferedBodiesOptions): OfferedBodies {
  const { downlink, clock, estimateServiceMs } = options;
  const bodies = new Map<number, OfferedBody>();
  return {
    offer: (offer) => {
      remove(offer.id);
      const body: OfferedBody = {
        bytes: offer.bytes,
        targetAtMs: clock() + offer.targetMs,
        serviceMs: estimateServiceMs(offer),
        grant: (bytes) => options.grant(offer.id, bytes),
      };
      const waitMs = downlink.computeWaitMs(body);
      if (waitMs > 0) return waitMs;
      bodies.set(offer.id, body);
      downlink.add(body);
      return 0;
    },
    receive: (id, bytes) => {
      const body = bodies.get(id);
      if (body !== undefined) downlink.receive(body, bytes);
    },
    remove,
    close: () => {
      bodies.forEach((body) => downlink.remove(body));
      bodies.clear();
    },
  };

  function remove(id: number): boolean {
    const body = bodies.get(id);
    if (body !== undefined) downlink.remove(body);
    return bodies.delete(id);
  }
}
