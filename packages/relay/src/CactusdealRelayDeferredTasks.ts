/** Defers tasks until the input that arrived together with them has been read. */
export interface DeferredTasks {
  schedule(task: () => void): void;
}

/**
 * Creates an empty queue. After a pause of this process, requests are read together with the
 * disconnection of their senders, and should not be served. The runtime reports the end of a
 * connection one turn of the event loop after its last data, so tasks run two turns later.
 */
export function createDeferredTasks(): DeferredTasks {
  let tasks: (() => void)[] = [];
  return {
    schedule: (task) => {
      if (tasks.length === 0) setImmediate(() => setImmediate(runTasks));
      tasks.push(task);
    },
  };

  function runTasks(): void {
    const pending = tasks;
    tasks = [];
    pending.forEach((task) => task());
  }
}
