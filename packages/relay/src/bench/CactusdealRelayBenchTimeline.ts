import type { Timeline } from './CactusdealRelayBenchOverloadTypes.js';

/** Creates a virtual clock and the function that runs what is scheduled on it until `endMs`. */
export function createTimeline(): { timeline: Timeline; run: (endMs: number) => void } {
  const due: { readonly atMs: number; readonly run: () => void }[] = [];
  let nowMs = 0;
  const timeline: Timeline = {
    getNowMs: () => nowMs,
    schedule: (delayMs, run) => addEntry({ atMs: nowMs + delayMs, run }),
  };
  return {
    timeline,
    run: (endMs) => {
      for (;;) {
        const next = due.pop();
        if (next === undefined || next.atMs > endMs) return;
        nowMs = next.atMs;
        next.run();
      }
    },
  };

  /** Inserts in descending order of time, so that the next entry is the last. */
  function addEntry(entry: { readonly atMs: number; readonly run: () => void }): void {
    let low = 0;
    let high = due.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((due[middle]?.atMs ?? 0) > entry.atMs) low = middle + 1;
      else high = middle;
    }
    due.splice(low, 0, entry);
  }
}
