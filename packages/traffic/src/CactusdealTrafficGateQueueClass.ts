import type { Rank } from '@cactusdeal/schema';
import type { Either } from 'purify-ts';
import { Heap } from './CactusdealTrafficGateQueueHeap.js';
import type { AdmissionRequest, Slot } from './CactusdealTrafficPolicyTypes.js';
import type { Refusal } from './CactusdealTrafficTypes.js';

/** A call in the queue, waiting for a slot. */
export interface WaitingCall {
  readonly request: AdmissionRequest;
  readonly classQueue: ClassQueue;
  readonly arrivedAtMs: number;
  readonly sequence: number;
  settle(result: Either<Refusal, Slot>): void;
}

const RANK_ORDER: Readonly<Record<Rank, number>> = { critical: 0, high: 1, normal: 2, low: 3 };
// Gains of the exponentially weighted moving averages; those of the service time equal RFC 6298's.
const SERVICE_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
const RELATIVE_DEADLINE_GAIN = 1 / 8;
/** Minimum time constant, in milliseconds, of the average number of slots in use. */
const MIN_AVERAGE_CONSTANT_MS = 200;
/** Largest part of a class's mean relative deadline that its service time is estimated at. */
const MAX_SERVICE_FRACTION = 1 / 2;
/** Lower bound of the slots assumed when a wait is estimated, so that it stays finite. */
const MIN_ASSUMED_SLOTS = 1 / 16;

/**
 * The waiting calls of one class, its slot accounting and its service time statistics. Times are in
 * milliseconds of the gate's clock.
 */
export class ClassQueue {
  /** Guaranteed fraction of the slots, 0 to 1, from the route of the class's latest call. */
  public share = 0;

  public lastArrivalAtMs: number;

  /** Moving average of the time from arrival to deadline; infinite before the first arrival. */
  public meanRelativeDeadlineMs = Infinity;

  private guaranteedSlots = 0;

  private slotsInUse = 0;

  private averageSlotsInUse = 0;

  /**
   * Slot-milliseconds by which the class received less than its guarantee while it had calls waiting;
   * negative after it received more. Bounded by one mean service time in either direction.
   */
  private credit = 0;

  private updatedAtMs: number;

  private meanServiceMs = 0;

  private serviceDeviationMs = 0;

  private readonly byUrgency = new Heap(compareUrgency);

  private readonly byDeadline = new Heap(compareDeadline);

  private readonly byWorth = new Heap(compareWorth);

  public constructor(
    public readonly className: string,
    nowMs: number,
  ) {
    this.updatedAtMs = nowMs;
    this.lastArrivalAtMs = nowMs;
  }

  public get queued(): number {
    return this.byUrgency.size;
  }

  public get inUse(): number {
    return this.slotsInUse;
  }

  /** Moving average of the time that a call holds its slot; 0 before the first measurement. */
  public get serviceMs(): number {
    return this.meanServiceMs;
  }

  /** Guaranteed slots; a fractional slot is guaranteed for that fraction of the time. */
  public get guaranteed(): number {
    return this.guaranteedSlots;
  }

  public setGuaranteed(slots: number): void {
    this.guaranteedSlots = slots;
  }

  public peekMostUrgent(): WaitingCall | undefined {
    return this.byUrgency.peek();
  }

  public peekEarliestDeadline(): WaitingCall | undefined {
    return this.byDeadline.peek();
  }

  public peekLowestWorth(): WaitingCall | undefined {
    return this.byWorth.peek();
  }

  public push(call: WaitingCall): void {
    this.byUrgency.push(call);
    this.byDeadline.push(call);
    this.byWorth.push(call);
  }

  /** Removes a waiting call; returns false if it was not waiting. */
  public remove(call: WaitingCall): boolean {
    if (!this.byUrgency.remove(call)) return false;
    this.byDeadline.remove(call);
    this.byWorth.remove(call);
    return true;
  }

  public recordArrival(request: AdmissionRequest, nowMs: number): void {
    const relativeDeadlineMs = request.deadlineAtMs - nowMs;
    const isFirst = this.meanRelativeDeadlineMs === Infinity;
    this.meanRelativeDeadlineMs = isFirst
      ? relativeDeadlineMs
      : this.meanRelativeDeadlineMs +
        (relativeDeadlineMs - this.meanRelativeDeadlineMs) * RELATIVE_DEADLINE_GAIN;
    this.share = request.share;
    this.lastArrivalAtMs = nowMs;
  }

  public recordStart(): void {
    this.slotsInUse += 1;
  }

  /** Records that a slot was released; `isComplete` is false if the call was cancelled. */
  public recordEnd(heldMs: number, isComplete: boolean): void {
    this.slotsInUse -= 1;
    // The time of a cancelled call is only a lower bound of its service time.
    if (isComplete || heldMs > this.meanServiceMs) this.recordService(heldMs);
  }

  private recordService(heldMs: number): void {
    if (this.meanServiceMs === 0) {
      this.meanServiceMs = heldMs;
      this.serviceDeviationMs = heldMs / 2;
      return;
    }
    const error = heldMs - this.meanServiceMs;
    this.meanServiceMs += error * SERVICE_GAIN;
    this.serviceDeviationMs += (Math.abs(error) - this.serviceDeviationMs) * DEVIATION_GAIN;
  }

  /**
   * Advances credit and averages to `nowMs`; must run before the slots or the queue change. Credit
   * grows while the class has calls waiting and holds less than its guarantee, and falls while it
   * holds more. Slots beyond the guarantee rounded up to whole slots are borrowed and cost no credit:
   * a class that used idle slots does not lose its guarantee afterwards.
   */
  public update(nowMs: number): void {
    const elapsedMs = nowMs - this.updatedAtMs;
    if (elapsedMs <= 0) return;
    this.updatedAtMs = nowMs;
    const charged = Math.min(this.slotsInUse, Math.ceil(this.guaranteedSlots));
    const earned = this.queued > 0 ? this.guaranteedSlots : Math.min(this.guaranteedSlots, charged);
    const credit = this.credit + (earned - charged) * elapsedMs;
    this.credit = Math.max(-this.meanServiceMs, Math.min(credit, this.meanServiceMs));
    const constantMs = Math.max(MIN_AVERAGE_CONSTANT_MS, 2 * this.meanServiceMs);
    const weight = 1 - Math.exp(-elapsedMs / constantMs);
    this.averageSlotsInUse += (this.slotsInUse - this.averageSlotsInUse) * weight;
  }

  /**
   * Whether the class is below its guarantee, so that it is served before classes that are not. The
   * fractional part of the guarantee counts only while the credit is not negative.
   */
  public isBelowGuarantee(): boolean {
    if (this.slotsInUse < Math.floor(this.guaranteedSlots)) return true;
    return this.slotsInUse < this.guaranteedSlots && this.credit >= 0;
  }

  /**
   * Estimated service time: the mean plus `deviations` mean deviations, capped at half of the mean
   * relative deadline; 0 while the class holds no slot. The cap keeps an outdated, too high estimate
   * from refusing every new call, which would leave nothing to correct it by.
   */
  public estimateServiceMs(deviations: number): number {
    if (this.slotsInUse === 0) return 0;
    const estimateMs = this.meanServiceMs + deviations * this.serviceDeviationMs;
    return Math.min(estimateMs, this.meanRelativeDeadlineMs * MAX_SERVICE_FRACTION);
  }

  /** Estimated queueing delay of a call behind all waiting calls of this class. */
  public estimateWaitMs(): number {
    const guaranteedInUse = Math.min(this.guaranteedSlots, this.slotsInUse);
    const assumedSlots = Math.max(this.averageSlotsInUse, guaranteedInUse, MIN_ASSUMED_SLOTS);
    return (this.queued * this.meanServiceMs) / assumedSlots;
  }
}

/** Orders calls by rank, then earliest deadline, then arrival. */
export function compareUrgency(left: WaitingCall, right: WaitingCall): number {
  const byRank = RANK_ORDER[left.request.rank] - RANK_ORDER[right.request.rank];
  return byRank !== 0 ? byRank : compareDeadline(left, right);
}

function compareDeadline(left: WaitingCall, right: WaitingCall): number {
  const byDeadline = left.request.deadlineAtMs - right.request.deadlineAtMs;
  return byDeadline !== 0 ? byDeadline : left.sequence - right.sequence;
}

/** Orders calls for shedding: lowest worth first, then least urgent. */
export function compareWorth(left: WaitingCall, right: WaitingCall): number {
  const byWorth = left.request.worth - right.request.worth;
  return byWorth !== 0 ? byWorth : compareUrgency(right, left);
}
