/** Defers tasks until the input that arrived together with them has been read. */
export interface DeferredTasks {
  schedule(task: () => void): void;
  /** Resolves when a task that is scheduled now would run. */
  wait(): Promise<void>;
}

/**
 * Creates an empty queue. After a pause of this process, requests are read together with the
 * disconnection of their senders, and should not be served. The runtime reports the end of a
 * connection one turn of the event loop after its last data, so a whole turn passes between the one
 * in which a task is scheduled and the one that runs it, whatever other tasks wait.
 */
export function createDeferredTasks(): DeferredTasks {
  let scheduled: (() => void)[] = [];
  let due: (() => void)[] = [];
  let isRunning = false;
  return {
    schedule,
    wait: () =>
      new Promise((resolve) => {
        schedule(resolve);
      }),
  };

  function schedule(task: () => void): void {
    scheduled.push(task);
    if (!isRunning) setImmediate(runTurn);
    isRunning = true;
  }

  function runTurn(): void {
    const tasks = due;
    due = scheduled;
    scheduled = [];
    isRunning = due.length > 0;
    if (isRunning) setImmediate(runTurn);
    tasks.forEach((task) => task());
  }
}
