import { type FairRequest, listInFairOrder } from './CactusdealRelayFairOrder.js';
import { createOrganisationUsage } from './CactusdealRelayOrganisationUsage.js';
import { createRateLimit, type RateLimit } from './CactusdealRelayRateLimit.js';
import type { ServiceTimes } from './CactusdealRelayServiceTimes.js';
import { createSlotUsage } from './CactusdealRelaySlotUsage.js';

/** What admission control needs to know about a call. Times are on the gate's monotonic clock. */
export interface AdmissionRequest extends FairRequest {
  /** Calls of one kind are assumed to have similar service times. */
  readonly kind: string;
  /** Upper bound of the service-time estimate while its kind has no samples, in milliseconds. */
  readonly estimateCapMs: number;
  /** Time at which the caller stops waiting. */
  readonly deadlineAtMs: number;
  /** The call is queued only if its answer is expected by this time. */
  readonly latestAnswerAtMs: number;
}

/** Whether an arriving call starts at once, is queued or is refused. */
export type AdmissionDecision =
  | { readonly type: 'start' }
  | { readonly type: 'wait' }
  | { readonly type: 'refuse'; readonly retryAfterMs: number };

/**
 * Admission control and queue for the slots (concurrent requests) of one upstream, and for the calls
 * per second that it takes.
 *
 * Load pattern: overload that lasts longer than the latency target. An unbounded queue would answer
 * every call late, so a call is refused on arrival if the expected queueing delay and service time
 * exceed its limit. Queued calls start by priority, then by earliest target; organisations that use
 * more of the slots than their share go after others of their priority. Filling the queue until
 * the mean service time just fits would make every second call late, so the estimate on arrival
 * includes a safety margin.
 */
export interface Admission<T extends AdmissionRequest> {
  admit(call: T, nowMs: number): AdmissionDecision;
  /** Frees the slot of a call that has ended. */
  release(): void;
  /**
   * Dequeues the first call that can still meet its target, or else the first of all, and gives it
   * a slot. Undefined if no slot is free, the rate limit is used up or the queue is empty.
   */
  takeNext(nowMs: number): T | undefined;
  /** Removes and returns the queued calls whose answer is no longer expected by their limit. */
  evictLate(nowMs: number): readonly T[];
  /** Removes one cancelled call from the queue; false if it was not queued. */
  remove(call: T): boolean;
  /** Empties the queue and returns its calls. */
  clear(): readonly T[];
  /** Sets the number of slots; 0 refuses every call. */
  setCapacity(capacity: number): void;
  /** Counts the calls that hold a slot and those that are queued. */
  getLoad(): { readonly running: number; readonly waiting: number };
}

/**
 * Fraction of the expected service time that must remain before a target or deadline for it to
 * count as reachable.
 */
const MIN_SERVICE_FRACTION = 0.8;
/**
 * Mean deviations added to the expected service time on admission, because many calls take longer
 * than the mean.
 */
const ADMISSION_DEVIATIONS = 1.9;
/**
 * Fraction of the expected service time that a queued call must have left to stay in the queue.
 * Well below the margin on admission, so that small estimation errors do not evict admitted calls.
 */
const EVICTION_SERVICE_FRACTION = 0.8;
const MIN_RETRY_AFTER_MS = 30;
/** Least fraction of the slots that the wait estimate assumes to be available to any priority. */
const MIN_CAPACITY_FRACTION = 0.1;

/** What admission control needs to know about organisations. */
export interface AdmissionOrganisations {
  /** Share of the organisation in the slots by its weight; 0 to 1. */
  readonly getShare: (organisation: string) => number;
  /** Called when a call starts before one with an earlier target, whose organisation has used more. */
  readonly recordReordered: () => void;
}

const NO_ORGANISATIONS: AdmissionOrganisations = { getShare: () => 1, recordReordered: () => {} };

export function createAdmission<T extends AdmissionRequest>(
  serviceTimes: ServiceTimes,
  rateLimit: RateLimit = createRateLimit(),
  organisations: AdmissionOrganisations = NO_ORGANISATIONS,
): Admission<T> {
  const slotUsage = createSlotUsage();
  const organisationUsage = createOrganisationUsage({
    getShare: organisations.getShare,
    getCapacity: () => capacity,
    getMeanServiceMs: () => serviceTimes.getMean(),
  });
  let waiting: readonly T[] = [];
  let lastOrder: { queue: readonly T[]; order: readonly T[]; atMs: number } | undefined;
  let running = 0;
  let capacity = 0;
  return {
    admit,
    release: () => {
      running -= 1;
    },
    takeNext,
    evictLate,
    remove: (call) => {
      const isQueued = waiting.includes(call);
      if (isQueued) setWaiting(waiting.filter((other) => other !== call));
      return isQueued;
    },
    clear: () => {
      const all = waiting;
      setWaiting([]);
      return all;
    },
    setCapacity: (next) => {
      capacity = next;
    },
    getLoad: () => ({ running, waiting: waiting.length }),
  };

  function admit(call: T, nowMs: number): AdmissionDecision {
    if (waiting.length === 0 && hasRoom(nowMs)) {
      if (isDeadlineUnreachable(call, nowMs)) return { type: 'refuse', retryAfterMs: 0 };
      recordStart(call, nowMs);
      return { type: 'start' };
    }
    const queue = listWith(call);
    const waitMs = computeWaitMs(call, queue, nowMs);
    const expectedEndMs = nowMs + waitMs + computeReservedMs(call);
    if (capacity === 0 || expectedEndMs > call.latestAnswerAtMs) {
      lastOrder = undefined;
      const excessMs = expectedEndMs - call.latestAnswerAtMs;
      return {
        type: 'refuse',
        retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.min(excessMs, waitMs)),
      };
    }
    setWaiting(queue);
    return { type: 'wait' };
  }

  /** Replaces the queue. Its order is dropped, as it would keep calls that have ended. */
  function setWaiting(next: readonly T[]): void {
    waiting = next;
    if (lastOrder?.queue !== next) lastOrder = undefined;
  }

  function hasRoom(nowMs: number): boolean {
    return running < capacity && rateLimit.computeWaitMs(0, nowMs) === 0;
  }

  /** Expected service time. */
  function computeServiceMs({ kind, estimateCapMs }: T): number {
    return serviceTimes.estimate(kind, estimateCapMs);
  }

  /** Expected service time with the safety margin that admission adds. */
  function computeReservedMs(call: T): number {
    const deviationMs = serviceTimes.estimateDeviation(call.kind, call.estimateCapMs);
    return computeServiceMs(call) + deviationMs * ADMISSION_DEVIATIONS;
  }

  function recordStart(call: T, nowMs: number): void {
    running += 1;
    rateLimit.take(nowMs);
    const { priority, organisation } = call;
    const serviceMs = computeServiceMs(call);
    slotUsage.record(priority, serviceMs, nowMs);
    if (organisation !== undefined)
      organisationUsage.record(organisation, priority, serviceMs, nowMs);
  }

  /** Lists the calls of a queue in the order in which they start. */
  function listInOrder(queue: readonly T[], nowMs: number): readonly T[] {
    if (lastOrder?.queue === queue && lastOrder.atMs === nowMs) return lastOrder.order;
    const computeBand = (organisation: string, queuedMs: number): number =>
      organisationUsage.computeBand(organisation, queuedMs, nowMs);
    const order = listInFairOrder(queue, computeBand, computeServiceMs);
    lastOrder = { queue, order, atMs: nowMs };
    return order;
  }

  /**
   * Expected queueing delay, in milliseconds. More urgent calls that arrive later overtake this one,
   * so the slots that such calls have recently used count as unavailable.
   */
  function computeWaitMs(call: T, queue: readonly T[], nowMs: number): number {
    const ahead = listAhead(call, queue, nowMs);
    const urgentSlots = countOvertakingSlots(call, ahead, nowMs);
    const rateWaitMs = computeRateWaitMs(ahead.length, urgentSlots, nowMs);
    const isHeldByRate = rateWaitMs > 0 && running + waiting.length < capacity;
    if (isHeldByRate) return rateWaitMs;
    const queuedAheadMs = ahead.reduce(
      (sum, other) => sum + computeServiceMs(other),
      serviceTimes.getMean(),
    );
    const slots = Math.max(1, capacity * MIN_CAPACITY_FRACTION, capacity - urgentSlots);
    return Math.max(rateWaitMs, queuedAheadMs / slots);
  }

  /** Lists the calls of a queue with this one that start before it if nothing changes. */
  function listAhead(call: T, queue: readonly T[], nowMs: number): readonly T[] {
    const order = listInOrder(queue, nowMs);
    return order.slice(0, order.indexOf(call));
  }

  /** Estimates the slots in use by calls of which later ones overtake this one. */
  function countOvertakingSlots(call: T, ahead: readonly T[], nowMs: number): number {
    const { priority, organisation } = call;
    const urgentSlots = slotUsage.countMoreUrgentSlots(priority, nowMs);
    if (organisation === undefined) return urgentSlots;
    const queuedMs = ahead
      .filter((other) => other.organisation === organisation)
      .reduce((sum, other) => sum + computeServiceMs(other), 0);
    const band = organisationUsage.computeBand(organisation, queuedMs, nowMs);
    return urgentSlots + organisationUsage.countLowerBandSlots(organisation, priority, band, nowMs);
  }

  /** Expected delay by the rate limit, of which more urgent calls take what their slots amount to. */
  function computeRateWaitMs(callsAhead: number, urgentSlots: number, nowMs: number): number {
    const waitMs = rateLimit.computeWaitMs(callsAhead, nowMs);
    const availableFraction = 1 - urgentSlots / rateLimit.countSlots(serviceTimes.getMean());
    return waitMs / Math.max(MIN_CAPACITY_FRACTION, availableFraction);
  }

  /** The queued calls with this one, by priority, then by earliest target. */
  function listWith(call: T): T[] {
    let index = waiting.length;
    while (index > 0 && compareUrgency(call, waiting[index - 1] as T) < 0) index -= 1;
    return [...waiting.slice(0, index), call, ...waiting.slice(index)];
  }

  function takeNext(nowMs: number): T | undefined {
    if (waiting.length === 0 || !hasRoom(nowMs)) return undefined;
    const order = listInOrder(waiting, nowMs);
    const call = findFirst(order, nowMs);
    if (order !== waiting && call !== findFirst(waiting, nowMs)) organisations.recordReordered();
    setWaiting(waiting.filter((other) => other !== call));
    recordStart(call, nowMs);
    return call;
  }

  /** The first call that can still meet its target, or else the first of all. */
  function findFirst(order: readonly T[], nowMs: number): T {
    return order.find((call) => isTargetReachable(call, nowMs)) ?? (order[0] as T);
  }

  function isTargetReachable(call: T, nowMs: number): boolean {
    return nowMs + computeServiceMs(call) * MIN_SERVICE_FRACTION <= call.targetAtMs;
  }

  function isDeadlineUnreachable(call: T, nowMs: number): boolean {
    return nowMs + computeServiceMs(call) * MIN_SERVICE_FRACTION >= call.deadlineAtMs;
  }

  // A queued call becomes late when more urgent calls that arrived after it take its place.
  function evictLate(nowMs: number): readonly T[] {
    const late: T[] = [];
    let queuedAheadMs = running < capacity ? 0 : serviceTimes.getMean();
    let callsAhead = 0;
    listInOrder(waiting, nowMs).forEach((call) => {
      const serviceMs = computeServiceMs(call);
      const waitMs = Math.max(
        queuedAheadMs / Math.max(1, capacity),
        rateLimit.computeWaitMs(callsAhead, nowMs),
      );
      const expectedEndMs = nowMs + waitMs + serviceMs * EVICTION_SERVICE_FRACTION;
      if (expectedEndMs <= call.latestAnswerAtMs) {
        queuedAheadMs += serviceMs;
        callsAhead += 1;
      } else late.push(call);
    });
    if (late.length > 0) setWaiting(waiting.filter((call) => !late.includes(call)));
    return late;
  }
}

/** Sorts by priority, then by earliest target; negative if `left` starts first. */
function compareUrgency(left: AdmissionRequest, right: AdmissionRequest): number {
  return left.priority - right.priority || left.targetAtMs - right.targetAtMs;
}
