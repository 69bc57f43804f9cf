import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createPauseWatch, type Pause } from '../../CactusdealSharedPauseWatch.js';

const INTERVAL_MS = 150;

interface Case {
  readonly name: string;
  /** Times of the checks, each with the processor time used until then. */
  readonly checks: readonly (readonly [atMs: number, usedMs: number])[];
  readonly pauses: readonly Pause[];
}

const cases: readonly Case[] = [
  {
    name: 'timers in time',
    checks: [
      [150, 10],
      [310, 20],
    ],
    pauses: [],
  },
  {
    name: 'a process that stood still',
    checks: [
      [150, 10],
      [1_000, 15],
    ],
    pauses: [{ durationMs: 700, busyMs: 5 }],
  },
  {
    name: 'a long task',
    checks: [
      [650, 640],
      [800, 650],
    ],
    pauses: [{ durationMs: 500, busyMs: 640 }],
  },
];

describe('pauses that are noticed after', () => {
  cases.forEach(({ name, checks, pauses }) => {
    it(name, () => {
      let nowMs = 0;
      let usedMs = 0;
      const observed: Pause[] = [];
      const watch = createPauseWatch({
        intervalMs: INTERVAL_MS,
        clock: () => nowMs,
        readProcessorMs: () => usedMs,
        observe: (pause) => observed.push(pause),
      });
      checks.forEach((check) => {
        [nowMs, usedMs] = check;
        watch.check();
      });
      assert.deepEqual(observed, pauses);
    });
  });
});
