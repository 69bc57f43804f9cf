import { type Clock, invariant } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import {
  type ClassQueue,
  compareWorth,
  type WaitingCall,
} from './CactusdealTrafficGateQueueClass.js';
import { ClassScheduler } from './CactusdealTrafficGateQueueScheduler.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import type { AdmissionRequest, GateQueue, Slot } from './CactusdealTrafficPolicyTypes.js';
import { type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** Options of `createGateQueue`. */
export interface GateQueueOptions {
  /** Calls that the upstream runs concurrently. */
  readonly slots: number;
  /** Maximum number of waiting calls, read on every arrival so that it may change. */
  readonly getQueueLimit: () => number;
  /** Monotonic clock; the deadlines of requests are times of the same clock. */
  readonly clock: Clock;
  /** Timer; `scheduleTimeout` by default. */
  readonly schedule?: Schedule;
  /** Mean deviations added to the mean service time to estimate how long a call will run. */
  readonly serviceDeviations?: number;
}

/** Runs a function once after a delay in milliseconds; returns a function that cancels it. */
export type Schedule = (run: () => void, delayMs: number) => () => void;

type Admission = Either<Refusal, Slot>;

const DEFAULT_SERVICE_DEVIATIONS = 2;
const MIN_RETRY_AFTER_MS = 5;
const MAX_RETRY_AFTER_MS = 30_000;

/**
 * Creates the admission queue of one upstream.
 *
 * Free slots go to classes below their guaranteed share first, then to any class; within each group
 * the order is rank, then earliest deadline. A call that cannot meet its deadline is refused as soon
 * as that is known. A full queue sheds the call of lowest worth among the classes that use more than
 * their share of the queue. Every refusal is `not-run`.
 */
export function createGateQueue(options: GateQueueOptions): GateQueue {
  return new PriorityGateQueue(options);
}

class PriorityGateQueue implements GateQueue {
  private readonly scheduler: ClassScheduler;

  private readonly clock: Clock;

  private readonly schedule: Schedule;

  private readonly serviceDeviations: number;

  private slots: number;

  private inUse = 0;

  private queued = 0;

  private sequence = 0;

  private isClosed = false;

  private timerAtMs = Infinity;

  private cancelTimer: (() => void) | undefined;

  public constructor(private readonly options: GateQueueOptions) {
    this.clock = options.clock;
    this.scheduler = new ClassScheduler(options.clock);
    this.schedule = options.schedule ?? scheduleTimeout;
    this.serviceDeviations = options.serviceDeviations ?? DEFAULT_SERVICE_DEVIATIONS;
    this.slots = options.slots;
  }

  public admit(request: AdmissionRequest): Promise<Admission> {
    if (request.signal.aborted) return Promise.resolve(Left(buildCancelled()));
    if (this.isClosed) return Promise.resolve(Left(buildDraining()));
    return new Promise((resolve) => {
      const cancel = (): void => this.cancel(call);
      const call = this.buildCall(request, (result) => {
        request.signal.removeEventListener('abort', cancel);
        resolve(result);
      });
      request.signal.addEventListener('abort', cancel, { once: true });
      this.enqueue(call);
    });
  }

  private buildCall(request: AdmissionRequest, settle: WaitingCall['settle']): WaitingCall {
    this.sequence += 1;
    const classQueue = this.scheduler.getClass(request.className);
    return { request, classQueue, arrivedAtMs: this.clock(), sequence: this.sequence, settle };
  }

  private enqueue(call: WaitingCall): void {
    const { classQueue } = call;
    this.scheduler.update(this.slots);
    classQueue.recordArrival(call.request, call.arrivedAtMs);
    this.scheduler.update(this.slots);
    if (this.isDeadlineUnmeetable(call, this.queued) || this.isWaitTooLong(call)) {
      call.settle(
        buildRefused(
          classQueue,
          RefusalKind.DeadlineUnmeetable,
          'the deadline leaves too little time for the estimated wait and service',
        ),
      );
      return;
    }
    classQueue.push(call);
    this.queued += 1;
    this.grantSlots();
    this.shedExcess(call);
  }

  private cancel(call: WaitingCall): void {
    this.scheduler.update(this.slots);
    this.settleWaiting(call, Left(buildCancelled()));
    this.grantSlots();
  }

  private settleWaiting(call: WaitingCall, result: Admission): void {
    if (!call.classQueue.remove(call)) return;
    this.queued -= 1;
    call.settle(result);
  }

  private grantSlots(): void {
    this.scheduler.update(this.slots);
    this.refuseUnmeetable();
    while (this.inUse < this.slots) {
      const call = this.scheduler.findNext(this.slots - this.inUse, this.slots);
      if (call === undefined) break;
      this.settleWaiting(call, Right(this.takeSlot(call)));
    }
    this.setTimer();
  }

  private takeSlot({ classQueue, request, arrivedAtMs }: WaitingCall): Slot {
    const startedAtMs = this.clock();
    let isHeld = true;
    this.inUse += 1;
    classQueue.recordStart();
    const release = (): void => {
      if (!isHeld) return;
      isHeld = false;
      this.scheduler.update(this.slots);
      this.inUse -= 1;
      classQueue.recordEnd(this.clock() - startedAtMs, !request.signal.aborted);
      this.grantSlots();
    };
    return { queuedMs: startedAtMs - arrivedAtMs, release };
  }

  /**
   * Whether the call would end after its deadline even if it started now. With a free slot and no
   * `otherWaiting` calls it delays nobody, so it is refused only if the deadline has passed.
   */
  private isDeadlineUnmeetable(
    { classQueue, request }: WaitingCall,
    otherWaiting: number,
  ): boolean {
    const isUncontended = this.inUse < this.slots && otherWaiting === 0;
    const serviceMs = isUncontended ? 0 : classQueue.estimateServiceMs(this.serviceDeviations);
    return this.clock() + serviceMs >= request.deadlineAtMs;
  }

  /**
   * Whether a new call that would be last in its class's queue has an estimated queueing delay
   * beyond its deadline.
   */
  private isWaitTooLong(call: WaitingCall): boolean {
    const { classQueue, request } = call;
    const last = classQueue.peekLowestWorth();
    if (last === undefined || compareWorth(call, last) > 0) return false;
    const serviceMs = classQueue.estimateServiceMs(this.serviceDeviations);
    const maxWaitMs = request.deadlineAtMs - call.arrivedAtMs - serviceMs;
    return classQueue.estimateWaitMs() > maxWaitMs;
  }

  private refuseUnmeetable(): void {
    for (const classQueue of this.scheduler.getAll()) {
      let call = classQueue.peekEarliestDeadline();
      while (call !== undefined && this.isDeadlineUnmeetable(call, this.queued - 1)) {
        const text = 'the deadline can no longer be met while the call waits for a slot';
        this.settleWaiting(call, buildRefused(classQueue, RefusalKind.DeadlineUnmeetable, text));
        call = classQueue.peekEarliestDeadline();
      }
    }
  }

  private shedExcess(newcomer: WaitingCall): void {
    const limit = this.options.getQueueLimit();
    while (this.queued > limit) {
      const candidate = this.scheduler.findShedCandidate(limit);
      invariant(
        candidate !== undefined,
        'the queue exceeds its limit but no class exceeds its share',
      );
      const kind = candidate === newcomer ? RefusalKind.QueueFull : RefusalKind.Shed;
      this.settleWaiting(
        candidate,
        buildRefused(candidate.classQueue, kind, `the gate queue is full: ${limit} calls may wait`),
      );
    }
    this.setTimer();
  }

  /** Sets the timer to the time at which the next waiting call can no longer meet its deadline. */
  private setTimer(): void {
    const nextAtMs = this.findNextExpiry();
    if (nextAtMs === this.timerAtMs) return;
    this.cancelTimer?.();
    this.cancelTimer = undefined;
    this.timerAtMs = nextAtMs;
    if (nextAtMs === Infinity) return;
    const run = (): void => {
      this.timerAtMs = Infinity;
      this.grantSlots();
    };
    this.cancelTimer = this.schedule(run, Math.max(1, Math.ceil(nextAtMs - this.clock())));
  }

  private findNextExpiry(): number {
    let nextAtMs = Infinity;
    for (const classQueue of this.scheduler.getAll()) {
      const call = classQueue.peekEarliestDeadline();
      if (call === undefined) continue;
      const serviceMs = classQueue.estimateServiceMs(this.serviceDeviations);
      nextAtMs = Math.min(nextAtMs, call.request.deadlineAtMs - serviceMs);
    }
    return nextAtMs;
  }

  public setSlots(slots: number): void {
    this.scheduler.update(this.slots);
    this.slots = slots;
    this.grantSlots();
  }

  public getGauges(): { slots: number; inUse: number; queued: number } {
    return { slots: this.slots, inUse: this.inUse, queued: this.queued };
  }

  public close(): void {
    this.isClosed = true;
    for (const classQueue of this.scheduler.getAll()) {
      let call = classQueue.peekMostUrgent();
      while (call !== undefined) {
        this.settleWaiting(call, Left(buildDraining()));
        call = classQueue.peekMostUrgent();
      }
    }
    this.setTimer();
  }
}

function buildRefused(classQueue: ClassQueue, kind: RefusalKind, message: string): Admission {
  const waitMs = Math.ceil(classQueue.estimateWaitMs());
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(waitMs, MAX_RETRY_AFTER_MS));
  return Left(createNotRun(kind, message, retryAfterMs));
}

function buildCancelled(): Refusal {
  return createNotRun(
    RefusalKind.Cancelled,
    'the caller cancelled while the call waited for a slot',
  );
}

function buildDraining(): Refusal {
  return createNotRun(RefusalKind.Draining, 'the gate queue is closed to new calls');
}

/** Runs a function after a delay in milliseconds; the timer does not keep the process alive. */
export function scheduleTimeout(run: () => void, delayMs: number): () => void {
  const timer = setTimeout(run, delayMs);
  timer.unref();
  return () => clearTimeout(timer);
}
