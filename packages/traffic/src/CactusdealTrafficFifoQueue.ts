import { type Either, Left, Right } from 'purify-ts';
import type { AdmissionRequest, GateQueue, Slot } from './CactusdealTrafficPolicyTypes.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import { type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** Options of `createFifoQueue`. */
export interface FifoQueueOptions {
  readonly slots: number;
  /** Maximum number of waiting calls. */
  readonly queueLimit: number;
  readonly clock: () => number;
}

interface WaitingCall {
  readonly request: AdmissionRequest;
  readonly arrivedAtMs: number;
  settle(result: Either<Refusal, Slot>): void;
}

/** Creates a first-in, first-out gate queue that ignores ranks; the baseline of the benchmarks. */
export function createFifoQueue(options: FifoQueueOptions): GateQueue {
  const waiting: WaitingCall[] = [];
  let { slots } = options;
  let inUse = 0;
  let isClosed = false;

  return {
    admit,
    setSlots: (count) => {
      slots = count;
      grantWaiting();
    },
    getGauges: () => ({ slots, inUse, queued: waiting.length }),
    close: () => {
      isClosed = true;
      for (const call of waiting.splice(0)) call.settle(Left(buildClosedRefusal()));
    },
  };

  function admit(request: AdmissionRequest): Promise<Either<Refusal, Slot>> {
    if (isClosed) return Promise.resolve(Left(buildClosedRefusal()));
    if (inUse < slots) return Promise.resolve(Right(takeSlot(0)));
    if (waiting.length >= options.queueLimit) {
      return Promise.resolve(
        Left(
          createNotRun(
            RefusalKind.QueueFull,
            `the queue is full: ${options.queueLimit} calls may wait`,
          ),
        ),
      );
    }
    return new Promise((resolve) => {
      const call = { request, arrivedAtMs: options.clock(), settle };
      waiting.push(call);
      request.signal.addEventListener('abort', cancel, { once: true });

      function settle(result: Either<Refusal, Slot>): void {
        request.signal.removeEventListener('abort', cancel);
        resolve(result);
      }

      function cancel(): void {
        waiting.splice(waiting.indexOf(call), 1);
        resolve(
          Left(
            createNotRun(RefusalKind.Cancelled, 'the caller cancelled while the call was queued'),
          ),
        );
      }
    });
  }

  function takeSlot(queuedMs: number): Slot {
    let isHeld = true;
    inUse += 1;
    return {
      queuedMs,
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        inUse -= 1;
        grantWaiting();
      },
    };
  }

  function grantWaiting(): void {
    while (inUse < slots && waiting.length > 0) {
      const call = waiting.shift() as WaitingCall;
      const nowMs = options.clock();
      if (call.request.deadlineAtMs <= nowMs) {
        call.settle(
          Left(
            createNotRun(
              RefusalKind.DeadlinePassed,
              'the deadline passed while the call was queued',
            ),
          ),
        );
      } else {
        call.settle(Right(takeSlot(nowMs - call.arrivedAtMs)));
      }
    }
  }
}

const buildClosedRefusal = (): Refusal =>
  createNotRun(RefusalKind.Draining, 'the queue is closed to new calls');
