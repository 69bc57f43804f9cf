import type { Clock } from '@cactusdeal/shared';
import {
  ClassQueue,
  compareUrgency,
  compareWorth,
  type WaitingCall,
} from './CactusdealTrafficGateQueueClass.js';

/** Time without an arrival, in milliseconds, after which an idle class is evicted. */
const IDLE_CLASS_TTL_MS = 600_000;
/** Part of a class's mean relative deadline that may pass until a borrowed slot is released. */
const MAX_RELEASE_WAIT_FRACTION = 1 / 4;

/**
 * The classes of one gate's queue: selects the call to serve next and the call to shed first. Each
 * selection takes time linear in the number of classes.
 */
export class ClassScheduler {
  private readonly classes = new Map<string, ClassQueue>();

  public constructor(private readonly clock: Clock) {}

  public getAll(): Iterable<ClassQueue> {
    return this.classes.values();
  }

  public getClass(className: string): ClassQueue {
    const known = this.classes.get(className);
    if (known !== undefined) return known;
    this.evictIdle();
    const classQueue = new ClassQueue(className, this.clock());
    this.classes.set(className, classQueue);
    return classQueue;
  }

  private evictIdle(): void {
    const evictBeforeMs = this.clock() - IDLE_CLASS_TTL_MS;
    [...this.classes.values()]
      .filter((classQueue) => classQueue.inUse === 0 && classQueue.queued === 0)
      .filter((classQueue) => classQueue.lastArrivalAtMs < evictBeforeMs)
      .forEach((classQueue) => this.classes.delete(classQueue.className));
  }

  /**
   * Advances every class to now and divides `slots` among them by share. If the shares add up to more
   * than 1, they are scaled down to 1.
   */
  public update(slots: number): void {
    const nowMs = this.clock();
    const scale = this.computeShareScale();
    this.classes.forEach((classQueue) => {
      classQueue.update(nowMs);
      classQueue.setGuaranteed(classQueue.share * scale * slots);
    });
  }

  /** The waiting call to serve next: classes below their guarantee first, then the most urgent. */
  public findNext(freeSlots: number, slots: number): WaitingCall | undefined {
    let next: WaitingCall | undefined;
    let isNextBelowGuarantee = false;
    this.classes.forEach((classQueue) => {
      const call = classQueue.peekMostUrgent();
      if (call === undefined) return;
      const isBelowGuarantee = classQueue.isBelowGuarantee();
      if (next !== undefined && isBelowGuarantee === isNextBelowGuarantee) {
        if (compareUrgency(call, next) >= 0) return;
      } else if (isNextBelowGuarantee) return;
      next = call;
      isNextBelowGuarantee = isBelowGuarantee;
    });
    if (next === undefined || isNextBelowGuarantee) return next;
    const isLastFree = freeSlots === 1 && slots > 1;
    return isLastFree && this.shouldReserveLastSlot(next.classQueue) ? undefined : next;
  }

  /**
   * Whether the last free slot is reserved instead of being lent to `borrower`, a class that has its
   * guarantee: true if some class below its guarantee would have to wait too large a part of its
   * deadline for the next slot to be released.
   */
  private shouldReserveLastSlot(borrower: ClassQueue): boolean {
    const releasesPerMs = this.computeReleasesPerMs(borrower);
    return [...this.classes.values()].some((classQueue) => {
      if (classQueue === borrower || classQueue.inUse + 1 > classQueue.guaranteed) return false;
      return releasesPerMs * classQueue.meanRelativeDeadlineMs * MAX_RELEASE_WAIT_FRACTION < 1;
    });
  }

  private computeReleasesPerMs(borrower: ClassQueue): number {
    let releasesPerMs = 1 / Math.max(1, borrower.serviceMs);
    this.classes.forEach((classQueue) => {
      releasesPerMs += classQueue.inUse / Math.max(1, classQueue.serviceMs);
    });
    return releasesPerMs;
  }

  /** The call to shed from a full queue: the lowest worth in a class above its share of the queue. */
  public findShedCandidate(queueLimit: number): WaitingCall | undefined {
    const scale = this.computeShareScale();
    let candidate: WaitingCall | undefined;
    this.classes.forEach((classQueue) => {
      const call = classQueue.peekLowestWorth();
      if (call === undefined) return;
      if (classQueue.queued <= Math.floor(classQueue.share * scale * queueLimit)) return;
      if (candidate === undefined || compareWorth(call, candidate) < 0) candidate = call;
    });
    return candidate;
  }

  private computeShareScale(): number {
    let total = 0;
    this.classes.forEach((classQueue) => {
      total += classQueue.share;
    });
    return 1 / Math.max(1, total);
  }
}
