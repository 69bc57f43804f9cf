import type { Clock } from '@cactusdeal/shared';
import { Heap } from '../CactusdealTrafficGateQueueHeap.js';
import type { Schedule } from '../index.js';

/** Simulated time, which advances only from one scheduled event to the next. */
export interface VirtualTime {
  readonly clock: Clock;
  readonly schedule: Schedule;
  pause(durationMs: number, signal?: AbortSignal): Promise<void>;
  /** Runs the events in order of time until none is left; calls `observe` after each. */
  run(observe?: () => void): Promise<void>;
}

interface TimedEvent {
  readonly atMs: number;
  readonly sequence: number;
  run(): void;
}

const MAX_EVENTS = 1_000_000;

/** Creates a virtual time that starts at `startMs`. */
export function createVirtualTime(startMs = 0): VirtualTime {
  const events = new Heap<TimedEvent>(compareEvents);
  let nowMs = startMs;
  let sequence = 0;

  const schedule: Schedule = (run, delayMs) => {
    sequence += 1;
    const event = { atMs: nowMs + delayMs, sequence, run };
    events.push(event);
    return () => events.remove(event);
  };

  return {
    clock: () => nowMs,
    schedule,
    pause: (durationMs, signal) =>
      new Promise((resolve) => {
        schedule(resolve, signal?.aborted === true ? 0 : durationMs);
        signal?.addEventListener('abort', () => resolve(), { once: true });
      }),
    run: async (observe) => {
      for (let count = 0; count < MAX_EVENTS; count += 1) {
        const event = events.peek();
        if (event === undefined) return;
        events.remove(event);
        nowMs = event.atMs;
        event.run();
        await new Promise(setImmediate);
        observe?.();
      }
    },
  };
}

function compareEvents(left: TimedEvent, right: TimedEvent): number {
  return left.atMs === right.atMs ? left.sequence - right.sequence : left.atMs - right.atMs;
}
