import type { ServiceTimes } from './CactusdealRelayServiceTimes.js';
import { createShares } from './CactusdealRelayShares.js';

/** A call that wants a slot of the upstream. */
export interface Applicant {
  readonly kind: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Most that a call of a kind which was never seen is taken to need, in milliseconds. */
  readonly guessMs: number;
  /** When its answer loses worth, by the queue's clock. */
  readonly targetAtMs: number;
  /** When its answer is no longer wanted, by the queue's clock. */
  readonly deadlineAtMs: number;
  /** When its answer has to be expected for it to be let in, by the queue's clock. */
  readonly admitUntilMs: number;
}

/** What becomes of a call on its arrival. */
export type Verdict =
  | { readonly type: 'start' }
  | { readonly type: 'wait' }
  | { readonly type: 'refuse'; readonly retryAfterMs: number };

/**
 * Decides which calls get the slots of one upstream when more come than it can take.
 *
 * Load pattern: a flood of one kind of work for longer than its target. A queue that takes all of it
 * answers everything late, so a call is refused on arrival when those before it leave no room to
 * answer it in time; what was let in is answered, the most urgent first, then the earliest target.
 * A queue that is filled up to the target of the mean call answers every second one late, so the
 * promise keeps a reserve.
 */
export interface Admission<T extends Applicant> {
  admit(call: T, nowMs: number): Verdict;
  /** Gives the slot of a call that has ended back. */
  release(): void;
  /** The next call for a free slot; undefined when none is free or nobody waits. */
  takeNext(nowMs: number): T | undefined;
  /** Takes out the calls that can no longer be expected to be answered in time. */
  takeUnmeetable(nowMs: number): readonly T[];
  /** Takes one call out, whose caller went away; false when it does not wait. */
  remove(call: T): boolean;
  /** Takes all out that wait. */
  clear(): readonly T[];
  setCapacity(capacity: number): void;
  getLoad(): { readonly running: number; readonly waiting: number };
}

/** Part of the expected service time that must be left for a start to be worth it. */
const LEAST_SERVICE_PART = 0.8;
/** A place in the queue is promised for the expected time and so many mean deviations, as many calls take longer. */
const PROMISE_DEVIATIONS = 1.9;
/** Part of the expected time that must be left for a call that waits; well below the promise, so that small errors cost no place. */
const KEPT_PART = 0.8;
const LEAST_RETRY_MS = 30;
/** Part of the slots that is expected to be left to work of any priority. */
const LEAST_LEFT_PART = 0.1;

export function createAdmission<T extends Applicant>(times: ServiceTimes): Admission<T> {
  const shares = createShares();
  let waiting: T[] = [];
  let running = 0;
  let capacity = 0;
  return {
    admit,
    release: () => {
      running -= 1;
    },
    takeNext,
    takeUnmeetable,
    remove: (call) => {
      const index = waiting.indexOf(call);
      if (index >= 0) waiting.splice(index, 1);
      return index >= 0;
    },
    clear: () => {
      const all = waiting;
      waiting = [];
      return all;
    },
    setCapacity: (next) => {
      capacity = next;
    },
    getLoad: () => ({ running, waiting: waiting.length }),
  };

  function admit(call: T, nowMs: number): Verdict {
    if (running < capacity && waiting.length === 0) {
      if (isHopeless(call, nowMs)) return { type: 'refuse', retryAfterMs: 0 };
      recordStart(call, nowMs);
      return { type: 'start' };
    }
    const waitMs = computeWaitMs(call, nowMs);
    const endMs = nowMs + waitMs + computeReservedMs(call);
    if (capacity === 0 || endMs > call.admitUntilMs) {
      const excessMs = endMs - call.admitUntilMs;
      return { type: 'refuse', retryAfterMs: Math.max(LEAST_RETRY_MS, Math.min(excessMs, waitMs)) };
    }
    addWaiting(call);
    return { type: 'wait' };
  }

  function computeServiceMs({ kind, guessMs }: T): number {
    return times.estimate(kind, guessMs);
  }

  function computeReservedMs(call: T): number {
    const deviationMs = times.estimateDeviation(call.kind, call.guessMs);
    return computeServiceMs(call) + deviationMs * PROMISE_DEVIATIONS;
  }

  function recordStart(call: T, nowMs: number): void {
    running += 1;
    shares.record(call.priority, computeServiceMs(call), nowMs);
  }

  /** Time until the calls that go first, those that will come among them, have left a slot. */
  function computeWaitMs(call: T, nowMs: number): number {
    let aheadMs = times.getMean();
    waiting.forEach((other) => {
      if (compareUrgency(other, call) <= 0) aheadMs += computeServiceMs(other);
    });
    const leftSlots = capacity - shares.countMoreUrgent(call.priority, nowMs);
    return aheadMs / Math.max(1, capacity * LEAST_LEFT_PART, leftSlots);
  }

  function addWaiting(call: T): void {
    let index = waiting.length;
    while (index > 0 && compareUrgency(call, waiting[index - 1] as T) < 0) index -= 1;
    waiting.splice(index, 0, call);
  }

  function takeNext(nowMs: number): T | undefined {
    if (running >= capacity || waiting.length === 0) return undefined;
    const inTime = waiting.findIndex((call) => isInTime(call, nowMs));
    const [call] = waiting.splice(Math.max(0, inTime), 1);
    if (call !== undefined) recordStart(call, nowMs);
    return call;
  }

  function isInTime(call: T, nowMs: number): boolean {
    return nowMs + computeServiceMs(call) * LEAST_SERVICE_PART <= call.targetAtMs;
  }

  function isHopeless(call: T, nowMs: number): boolean {
    return nowMs + computeServiceMs(call) * LEAST_SERVICE_PART >= call.deadlineAtMs;
  }

  /** More urgent work that came later may have taken the time that a waiting call was let in for. */
  function takeUnmeetable(nowMs: number): readonly T[] {
    const unmeetable: T[] = [];
    let aheadMs = running < capacity ? 0 : times.getMean();
    waiting = waiting.filter((call) => {
      const serviceMs = computeServiceMs(call);
      const endMs = nowMs + aheadMs / Math.max(1, capacity) + serviceMs * KEPT_PART;
      const isKept = endMs <= call.admitUntilMs;
      if (isKept) aheadMs += serviceMs;
      else unmeetable.push(call);
      return isKept;
    });
    return unmeetable;
  }
}

/** Below 0 when `left` goes first. */
function compareUrgency(left: Applicant, right: Applicant): number {
  return left.priority - right.priority || left.targetAtMs - right.targetAtMs;
}
