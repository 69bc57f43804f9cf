/** Interval of the timer that all repeated tasks of the process share, in milliseconds. */
export const TICK_MS = 500;

interface Task {
  readonly ticks: number;
  readonly run: () => void;
  remainingTicks: number;
}

const tasks = new Set<Task>();
let timer: NodeJS.Timeout | undefined;

/**
 * Runs a task every `ticks` times `TICK_MS`, the first time up to one tick earlier, until the returned function is
 * called.
 *
 * Load pattern: an idle daemon, whose processor time is that of its wake-ups. Timers of their own would wake the process
 * once for each task.
 */
export function scheduleTicks(ticks: number, run: () => void): () => void {
  const task: Task = { ticks, run, remainingTicks: ticks };
  tasks.add(task);
  timer ??= setInterval(runTasks, TICK_MS);
  return () => {
    tasks.delete(task);
    if (tasks.size > 0) return;
    clearInterval(timer);
    timer = undefined;
  };
}

function runTasks(): void {
  tasks.forEach((dueTask) => {
    const task = dueTask;
    task.remainingTicks -= 1;
    if (task.remainingTicks > 0) return;
    task.remainingTicks = task.ticks;
    task.run();
  });
}
