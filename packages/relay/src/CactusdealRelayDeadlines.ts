import type { Clock } from '@cactusdeal/shared';

/** Runs tasks at their deadlines, most of which are cancelled before. */
export interface Deadlines {
  /** Runs the task at `atMs` on the clock, or soon after; returns a function that cancels it. */
  add(atMs: number, run: () => void): () => void;
  close(): void;
}

interface Deadline {
  readonly atMs: number;
  readonly run: () => void;
}

/**
 * Creates an empty set of deadlines with one timer for all.
 *
 * Load pattern: many short calls with deadlines of seconds. A timer for each call costs the runtime a
 * list and a heap entry; here the timer stays set to the earliest deadline that it had, and finds the next
 * one when it fires.
 */
export function createDeadlines(clock: Clock): Deadlines {
  const deadlines = new Set<Deadline>();
  let timer: NodeJS.Timeout | undefined;
  let timerAtMs = Infinity;
  return {
    add: (atMs, run) => {
      const deadline = { atMs, run };
      deadlines.add(deadline);
      if (atMs < timerAtMs) setTimer(atMs);
      return () => deadlines.delete(deadline);
    },
    close: () => {
      clearTimeout(timer);
      deadlines.clear();
    },
  };

  function setTimer(atMs: number): void {
    clearTimeout(timer);
    timerAtMs = atMs;
    timer = setTimeout(runDue, Math.ceil(atMs - clock()));
  }

  function runDue(): void {
    timerAtMs = Infinity;
    const nowMs = clock();
    const due = [...deadlines].filter(({ atMs }) => atMs <= nowMs);
    due.forEach((deadline) => {
      if (deadlines.delete(deadline)) deadline.run();
    });
    let nextAtMs = Infinity;
    deadlines.forEach(({ atMs }) => {
      nextAtMs = Math.min(nextAtMs, atMs);
    });
    if (nextAtMs < timerAtMs) setTimer(nextAtMs);
  }
}
