import { type Clock, getMonotonicMs } from './CactusdealSharedTime.js';

/** Runs once the input has been read that had arrived by `readAtMs`, on the queue's clock. */
export type DeferredTask = (readAtMs: number) => void;

/** Defers tasks until the input that arrived together with them has been read. */
export interface DeferredTasks {
  schedule(task: DeferredTask): void;
  /** Resolves when a task that is scheduled now would run, to the time that the task would get. */
  wait(): Promise<number>;
}

/** Longest turn of the event loop after which what arrived during it need not be read first. */
const MAX_TURN_MS = 50;

/**
 * Creates an empty queue. After a pause of this process, requests are read together with the
 * disconnection of their senders, and should not be served. The runtime reports the end of a
 * connection one turn of the event loop after its last data, so a whole turn passes between the one
 * in which a task is scheduled and the one that runs it, whatever other tasks wait. A turn reads only
 * what had arrived when it began, so another one follows a long one.
 */
export function createDeferredTasks(clock: Clock = getMonotonicMs): DeferredTasks {
  let scheduled: DeferredTask[] = [];
  let due: DeferredTask[] = [];
  let isRunning = false;
  let turnAtMs = 0;
  let isRepeated = false;
  return {
    schedule,
    wait: () =>
      new Promise((resolve) => {
        schedule(resolve);
      }),
  };

  function schedule(task: DeferredTask): void {
    scheduled.push(task);
    if (isRunning) return;
    isRunning = true;
    turnAtMs = clock();
    setImmediate(runTurn);
  }

  function runTurn(): void {
    const nowMs = clock();
    // Only once for each turn, so that tasks run however busy the process is.
    isRepeated = !isRepeated && nowMs - turnAtMs > MAX_TURN_MS;
    turnAtMs = nowMs;
    if (isRepeated) {
      setImmediate(runTurn);
      return;
    }
    const tasks = due;
    due = scheduled;
    scheduled = [];
    isRunning = due.length > 0;
    if (isRunning) setImmediate(runTurn);
    tasks.forEach((task) => task(nowMs));
  }
}
