import type { Rank } from '@cactusdeal/schema';
import type { Either } from 'purify-ts';
import { Heap } from './CactusdealTrafficGateQueueHeap.js';
import type { AdmissionRequest, Slot } from './CactusdealTrafficPolicyTypes.js';
import type { Refusal } from './CactusdealTrafficTypes.js';

/** A call that waits for a slot. */
export interface WaitingCall {
  readonly request: AdmissionRequest;
  readonly account: Account;
  readonly arrivedAtMs: number;
  readonly sequence: number;
  settle(result: Either<Refusal, Slot>): void;
}

const RANK_ORDER: Readonly<Record<Rank, number>> = { critical: 0, high: 1, normal: 2, low: 3 };
const SERVICE_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
const PATIENCE_GAIN = 1 / 8;
/** Least time constant of the average of slots in use. */
const LEAST_AVERAGE_MS = 200;
const MOST_SERVICE_PATIENCE = 1 / 2;
const LEAST_USED_SLOTS = 1 / 16;

/** What a gate knows of one class of calls. Times are in milliseconds by the gate's clock. */
export class Account {
  /** Guaranteed part of the slots, as the class's latest call stated it. */
  public share = 0;

  public lastArrivalAtMs: number;

  /** Smoothed time from arrival to deadline. */
  public patienceMs = Infinity;

  private guaranteedSlots = 0;

  private heldSlots = 0;

  private averageHeldSlots = 0;

  /** Slot-milliseconds that the class lags behind its guarantee, as far as it had calls waiting. */
  private credit = 0;

  private updatedAtMs: number;

  private meanMs = 0;

  private deviationMs = 0;

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
    return this.heldSlots;
  }

  /** Smoothed mean of the time that a slot is held; 0 while nothing is known. */
  public get serviceMs(): number {
    return this.meanMs;
  }

  /** Guaranteed slots; a fraction is granted as a part of the time. */
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

  public peekLeastWorth(): WaitingCall | undefined {
    return this.byWorth.peek();
  }

  public push(call: WaitingCall): void {
    this.byUrgency.push(call);
    this.byDeadline.push(call);
    this.byWorth.push(call);
  }

  /** Removes a waiting call; answers whether it still waited. */
  public remove(call: WaitingCall): boolean {
    if (!this.byUrgency.remove(call)) return false;
    this.byDeadline.remove(call);
    this.byWorth.remove(call);
    return true;
  }

  public recordArrival(request: AdmissionRequest, nowMs: number): void {
    const patienceMs = request.deadlineAtMs - nowMs;
    const isFirst = this.patienceMs === Infinity;
    this.patienceMs = isFirst
      ? patienceMs
      : this.patienceMs + (patienceMs - this.patienceMs) * PATIENCE_GAIN;
    this.share = request.share;
    this.lastArrivalAtMs = nowMs;
  }

  public recordStart(): void {
    this.heldSlots += 1;
  }

  /** Takes back a slot; `isWhole` is false for a call that was cut short. */
  public recordEnd(heldMs: number, isWhole: boolean): void {
    this.heldSlots -= 1;
    // A call that was cut short says only that service takes at least as long.
    if (isWhole || heldMs > this.meanMs) this.recordService(heldMs);
  }

  private recordService(heldMs: number): void {
    if (this.meanMs === 0) {
      this.meanMs = heldMs;
      this.deviationMs = heldMs / 2;
      return;
    }
    const error = heldMs - this.meanMs;
    this.meanMs += error * SERVICE_GAIN;
    this.deviationMs += (Math.abs(error) - this.deviationMs) * DEVIATION_GAIN;
  }

  /**
   * Brings credit and averages up to now; must run before slots or queue change. Credit grows while
   * the class waits below its guarantee and falls while it is above. Slots beyond the next whole one
   * are borrowed and cost no credit, so that lending is never held against a class.
   */
  public update(nowMs: number): void {
    const elapsedMs = nowMs - this.updatedAtMs;
    if (elapsedMs <= 0) return;
    this.updatedAtMs = nowMs;
    const charged = Math.min(this.heldSlots, Math.ceil(this.guaranteedSlots));
    const earned = this.queued > 0 ? this.guaranteedSlots : Math.min(this.guaranteedSlots, charged);
    const credit = this.credit + (earned - charged) * elapsedMs;
    this.credit = Math.max(-this.meanMs, Math.min(credit, this.meanMs));
    const constantMs = Math.max(LEAST_AVERAGE_MS, 2 * this.meanMs);
    const weight = 1 - Math.exp(-elapsedMs / constantMs);
    this.averageHeldSlots += (this.heldSlots - this.averageHeldSlots) * weight;
  }

  /** Whether the class gets a slot before every class that has its guarantee already. */
  public isEntitled(): boolean {
    if (this.heldSlots < Math.floor(this.guaranteedSlots)) return true;
    return this.heldSlots < this.guaranteedSlots && this.credit >= 0;
  }

  /**
   * Service time that a deadline has to leave, `deviations` above the mean. At most half of what the
   * class's calls allow: then every new call has a chance, and an outdated estimate is corrected.
   */
  public estimateServiceMs(deviations: number): number {
    if (this.heldSlots === 0) return 0;
    const estimateMs = this.meanMs + deviations * this.deviationMs;
    return Math.min(estimateMs, this.patienceMs * MOST_SERVICE_PATIENCE);
  }

  /** Time until a slot for a call behind all that waits in this class. */
  public estimateWaitMs(): number {
    const ensured = Math.min(this.guaranteedSlots, this.heldSlots);
    const used = Math.max(this.averageHeldSlots, ensured, LEAST_USED_SLOTS);
    return (this.queued * this.meanMs) / used;
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

/** Orders calls by what is lost least by shedding them: lowest worth, then least urgent. */
export function compareWorth(left: WaitingCall, right: WaitingCall): number {
  const byWorth = left.request.worth - right.request.worth;
  return byWorth !== 0 ? byWorth : compareUrgency(right, left);
}
