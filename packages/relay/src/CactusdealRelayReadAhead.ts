/** Runs tasks once all that had arrived with them has been read. */
export interface ReadAhead {
  schedule(task: () => void): void;
}

/**
 * Creates a queue of tasks. A process that was short of processor time finds requests together with
 * the news that their senders have left. The runtime reads the end of a connection one turn of the
 * event loop after its last data, so tasks run after two turns.
 */
export function createReadAhead(): ReadAhead {
  let tasks: (() => void)[] = [];
  return {
    schedule: (task) => {
      if (tasks.length === 0) setImmediate(() => setImmediate(runTasks));
      tasks.push(task);
    },
  };

  function runTasks(): void {
    const due = tasks;
    tasks = [];
    due.forEach((task) => task());
  }
}
