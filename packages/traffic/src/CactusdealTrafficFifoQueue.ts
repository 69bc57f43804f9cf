import { type Either, Left, Right } from 'purify-ts';
import type { AdmissionRequest, GateQueue, Slot } from './CactusdealTrafficPolicyTypes.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import { type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** What the plain queue is told. */
export interface FifoQueueOptions {
  readonly slots: number;
  /** Calls that may wait. */
  readonly limit: number;
  readonly clock: () => number;
}

interface Waiter {
  readonly request: AdmissionRequest;
  readonly sinceMs: number;
  settle(result: Either<Refusal, Slot>): void;
}

/** Creates a gate queue without ranks: first in, first out. The baseline of measurements. */
export function createFifoQueue(options: FifoQueueOptions): GateQueue {
  const waiting: Waiter[] = [];
  let { slots } = options;
  let inUse = 0;
  let closed = false;

  return {
    admit,
    setSlots: (count) => {
      slots = count;
      grantWaiting();
    },
    getGauges: () => ({ slots, inUse, queued: waiting.length }),
    close: () => {
      closed = true;
      for (const waiter of waiting.splice(0)) waiter.settle(Left(refuseClosed()));
    },
  };

  function admit(request: AdmissionRequest): Promise<Either<Refusal, Slot>> {
    if (closed) return Promise.resolve(Left(refuseClosed()));
    if (inUse < slots) return Promise.resolve(Right(takeSlot(0)));
    if (waiting.length >= options.limit) {
      return Promise.resolve(Left(createNotRun(RefusalKind.QueueFull, 'the queue is full')));
    }
    return new Promise((resolve) => {
      const waiter = { request, sinceMs: options.clock(), settle };
      waiting.push(waiter);
      request.signal.addEventListener('abort', leave, { once: true });

      function settle(result: Either<Refusal, Slot>): void {
        request.signal.removeEventListener('abort', leave);
        resolve(result);
      }

      function leave(): void {
        waiting.splice(waiting.indexOf(waiter), 1);
        resolve(Left(createNotRun(RefusalKind.Cancelled, 'cancelled while queued')));
      }
    });
  }

  function takeSlot(queuedMs: number): Slot {
    let held = true;
    inUse += 1;
    return {
      queuedMs,
      release: () => {
        if (!held) return;
        held = false;
        inUse -= 1;
        grantWaiting();
      },
    };
  }

  function grantWaiting(): void {
    while (inUse < slots && waiting.length > 0) {
      const waiter = waiting.shift() as Waiter;
      const nowMs = options.clock();
      if (waiter.request.deadlineAtMs <= nowMs) {
        waiter.settle(Left(createNotRun(RefusalKind.DeadlinePassed, 'expired while queued')));
      } else {
        waiter.settle(Right(takeSlot(nowMs - waiter.sinceMs)));
      }
    }
  }
}

const refuseClosed = (): Refusal => createNotRun(RefusalKind.Draining, 'the gate is closed');
