import { type Clock, invariant } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import {
  type Account,
  compareWorth,
  type WaitingCall,
} from './CactusdealTrafficGateQueueAccount.js';
import { Ledger } from './CactusdealTrafficGateQueueLedger.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import type { AdmissionRequest, GateQueue, Slot } from './CactusdealTrafficPolicyTypes.js';
import { type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** What a gate queue is made of. */
export interface GateQueueOptions {
  /** Calls that the upstream runs at once. */
  readonly slots: number;
  /** Most calls that may wait. */
  readonly getQueueLimit: () => number;
  /** Must not go back; deadlines of requests are by the same clock. */
  readonly clock: Clock;
  /** Runs a function after a time in milliseconds; answers its cancellation. */
  readonly schedule?: Schedule;
  /** How many deviations above its mean a call's service time is taken to be. */
  readonly serviceDeviations?: number;
}

/** Runs a function once after a time in milliseconds, and answers its cancellation. */
export type Schedule = (run: () => void, delayMs: number) => () => void;

type Admission = Either<Refusal, Slot>;

const SERVICE_DEVIATIONS = 2;
const LEAST_RETRY_MS = 5;
const MOST_RETRY_MS = 30_000;

/**
 * Creates the queue of one upstream.
 *
 * Slots go first to classes below their guaranteed share, then to any; within both by rank and
 * earliest deadline. What cannot meet its deadline is refused as soon as that is known; a full queue
 * sheds the lowest worth among the classes above their part of it. Every refusal is `not-run`.
 */
export function createGateQueue(options: GateQueueOptions): GateQueue {
  return new PriorityGateQueue(options);
}

class PriorityGateQueue implements GateQueue {
  private readonly ledger: Ledger;

  private readonly clock: Clock;

  private readonly schedule: Schedule;

  private readonly deviations: number;

  private slots: number;

  private inUse = 0;

  private queued = 0;

  private sequence = 0;

  private isClosed = false;

  private timerAtMs = Infinity;

  private cancelTimer: (() => void) | undefined;

  public constructor(private readonly options: GateQueueOptions) {
    this.clock = options.clock;
    this.ledger = new Ledger(options.clock);
    this.schedule = options.schedule ?? scheduleTimeout;
    this.deviations = options.serviceDeviations ?? SERVICE_DEVIATIONS;
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
    const account = this.ledger.getAccount(request.className);
    return { request, account, arrivedAtMs: this.clock(), sequence: this.sequence, settle };
  }

  private enqueue(call: WaitingCall): void {
    const { account } = call;
    this.ledger.update(this.slots);
    account.recordArrival(call.request, call.arrivedAtMs);
    this.ledger.update(this.slots);
    if (this.isUnmeetable(call, this.queued) || this.isHopeless(call)) {
      call.settle(buildRefused(account, RefusalKind.DeadlineUnmeetable, 'deadline is too near'));
      return;
    }
    account.push(call);
    this.queued += 1;
    this.grantSlots();
    this.shedExcess(call);
  }

  private cancel(call: WaitingCall): void {
    this.ledger.update(this.slots);
    this.drop(call, Left(buildCancelled()));
    this.grantSlots();
  }

  private drop(call: WaitingCall, result: Admission): void {
    if (!call.account.remove(call)) return;
    this.queued -= 1;
    call.settle(result);
  }

  private grantSlots(): void {
    this.ledger.update(this.slots);
    this.shedUnmeetable();
    while (this.inUse < this.slots) {
      const call = this.ledger.findNext(this.slots - this.inUse, this.slots);
      if (call === undefined) break;
      this.drop(call, Right(this.holdSlot(call)));
    }
    this.setTimer();
  }

  private holdSlot({ account, request, arrivedAtMs }: WaitingCall): Slot {
    const startedAtMs = this.clock();
    let isHeld = true;
    this.inUse += 1;
    account.recordStart();
    const release = (): void => {
      if (!isHeld) return;
      isHeld = false;
      this.ledger.update(this.slots);
      this.inUse -= 1;
      account.recordEnd(this.clock() - startedAtMs, !request.signal.aborted);
      this.grantSlots();
    };
    return { queuedMs: startedAtMs - arrivedAtMs, release };
  }

  /** A free slot that no `others` wait for costs nothing: then only a passed deadline counts. */
  private isUnmeetable({ account, request }: WaitingCall, others: number): boolean {
    const isUncontended = this.inUse < this.slots && others === 0;
    const serviceMs = isUncontended ? 0 : account.estimateServiceMs(this.deviations);
    return this.clock() + serviceMs >= request.deadlineAtMs;
  }

  /** Whether the newcomer would be the last of its class and wait longer than its deadline leaves. */
  private isHopeless(call: WaitingCall): boolean {
    const { account, request } = call;
    const last = account.peekLeastWorth();
    if (last === undefined || compareWorth(call, last) > 0) return false;
    const serviceMs = account.estimateServiceMs(this.deviations);
    const leftMs = request.deadlineAtMs - call.arrivedAtMs - serviceMs;
    return account.estimateWaitMs() > leftMs;
  }

  private shedUnmeetable(): void {
    for (const account of this.ledger.getAll()) {
      let call = account.peekEarliestDeadline();
      while (call !== undefined && this.isUnmeetable(call, this.queued - 1)) {
        const text = 'deadline cannot be met any more';
        this.drop(call, buildRefused(account, RefusalKind.DeadlineUnmeetable, text));
        call = account.peekEarliestDeadline();
      }
    }
  }

  private shedExcess(newcomer: WaitingCall): void {
    const limit = this.options.getQueueLimit();
    while (this.queued > limit) {
      const victim = this.ledger.findVictim(limit);
      invariant(victim !== undefined, 'an overfull queue has a class above its part');
      const kind = victim === newcomer ? RefusalKind.QueueFull : RefusalKind.Shed;
      this.drop(victim, buildRefused(victim.account, kind, 'queue is full'));
    }
    this.setTimer();
  }

  /** Wakes up when the next waiting call cannot meet its deadline any more. */
  private setTimer(): void {
    const nextAtMs = this.findNextTimeout();
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

  private findNextTimeout(): number {
    let nextAtMs = Infinity;
    for (const account of this.ledger.getAll()) {
      const call = account.peekEarliestDeadline();
      if (call === undefined) continue;
      const serviceMs = account.estimateServiceMs(this.deviations);
      nextAtMs = Math.min(nextAtMs, call.request.deadlineAtMs - serviceMs);
    }
    return nextAtMs;
  }

  public setSlots(slots: number): void {
    this.ledger.update(this.slots);
    this.slots = slots;
    this.grantSlots();
  }

  public getGauges(): { slots: number; inUse: number; queued: number } {
    return { slots: this.slots, inUse: this.inUse, queued: this.queued };
  }

  public close(): void {
    this.isClosed = true;
    for (const account of this.ledger.getAll()) {
      let call = account.peekMostUrgent();
      while (call !== undefined) {
        this.drop(call, Left(buildDraining()));
        call = account.peekMostUrgent();
      }
    }
    this.setTimer();
  }
}

function buildRefused(account: Account, kind: RefusalKind, message: string): Admission {
  const waitMs = Math.ceil(account.estimateWaitMs());
  const retryAfterMs = Math.max(LEAST_RETRY_MS, Math.min(waitMs, MOST_RETRY_MS));
  return Left(createNotRun(kind, message, retryAfterMs));
}

function buildCancelled(): Refusal {
  return createNotRun(RefusalKind.Cancelled, 'caller cancelled while the call waited');
}

function buildDraining(): Refusal {
  return createNotRun(RefusalKind.Draining, 'gate takes no more calls');
}

/** Runs a function by a timer that does not keep the process alive. */
export function scheduleTimeout(run: () => void, delayMs: number): () => void {
  const timer = setTimeout(run, delayMs);
  timer.unref();
  return () => clearTimeout(timer);
}
