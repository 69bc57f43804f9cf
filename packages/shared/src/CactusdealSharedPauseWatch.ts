import type { Clock } from './CactusdealSharedTime.js';

/** A time in which the event loop handled nothing. */
export interface Pause {
  /** How long it was, in milliseconds. */
  readonly durationMs: number;
  /** Processor time that the process used meanwhile, in milliseconds; little if it stood still. */
  readonly busyMs: number;
}

/** Notices that the event loop was blocked or that the process stood still. */
export interface PauseWatch {
  /**
   * Called at each interval by the timer of the owner; `intervalMs` is the time since the last call that its timers
   * explain, that of the options if it is missing.
   */
  check(intervalMs?: number): void;
}

export interface PauseWatchOptions {
  /** Time between two calls of `check`, in milliseconds. */
  readonly intervalMs: number;
  readonly clock: Clock;
  /** Processor time of the process, in milliseconds. */
  readonly readProcessorMs?: () => number;
  readonly observe: (pause: Pause) => void;
}

/** Delay of a timer that counts as a pause, in milliseconds. */
const MIN_PAUSE_MS = 100;
const MICROSECONDS_PER_MS = 1_000;

/** Creates a watch; the first interval begins now. */
export function createPauseWatch(options: PauseWatchOptions): PauseWatch {
  const { intervalMs, clock, readProcessorMs = getProcessorMs, observe } = options;
  let checkedAtMs = clock();
  let usedMs = readProcessorMs();
  return { check };

  function check(expectedMs = intervalMs): void {
    const nowMs = clock();
    const nowUsedMs = readProcessorMs();
    const durationMs = nowMs - checkedAtMs - expectedMs;
    const busyMs = nowUsedMs - usedMs;
    checkedAtMs = nowMs;
    usedMs = nowUsedMs;
    if (durationMs >= MIN_PAUSE_MS) observe({ durationMs, busyMs });
  }
}

function getProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
}
