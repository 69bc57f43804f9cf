import assert from 'node:assert/strict';
import { describe, it, mock } from 'node:test';
import { createDeadlines } from '../../CactusdealRelayDeadlines.js';

interface Case {
  readonly name: string;
  /** Deadlines in the order in which they are added, with the time at which each is. */
  readonly added: readonly { readonly id: string; readonly atMs: number; readonly nowMs: number }[];
  readonly cancelled?: readonly string[];
  /** Ids in the order in which they run, with the time. */
  readonly expected: readonly string[];
}

// They guard against a call that outlives its deadline because the one timer waits for another one.
const cases: readonly Case[] = [
  {
    name: 'runs an earlier deadline that is added later',
    added: [
      { id: 'a', atMs: 100, nowMs: 0 },
      { id: 'b', atMs: 40, nowMs: 10 },
    ],
    expected: ['b at 40', 'a at 100'],
  },
  {
    name: 'goes on with the next one after a cancelled one',
    added: [
      { id: 'a', atMs: 50, nowMs: 0 },
      { id: 'b', atMs: 80, nowMs: 0 },
    ],
    cancelled: ['a'],
    expected: ['b at 80'],
  },
  {
    name: 'runs one that has passed, and one that is added after all have run',
    added: [
      { id: 'a', atMs: -5, nowMs: 0 },
      { id: 'b', atMs: 30, nowMs: 20 },
    ],
    expected: ['a at 1', 'b at 30'],
  },
];

describe('createDeadlines', () => {
  cases.forEach(({ name, added, cancelled = [], expected }) => {
    it(name, () => {
      mock.timers.enable({ apis: ['setTimeout'] });
      let nowMs = 0;
      const ran: string[] = [];
      const deadlines = createDeadlines(() => nowMs);
      const add = ({ id, atMs }: { id: string; atMs: number }): void => {
        const cancel = deadlines.add(atMs, () => ran.push(`${id} at ${nowMs}`));
        if (cancelled.includes(id)) cancel();
      };
      Array.from({ length: 120 }, (_, timeMs) => {
        added.filter((deadline) => deadline.nowMs === timeMs).forEach(add);
        nowMs = timeMs + 1;
        return mock.timers.tick(1);
      });
      assert.deepEqual(ran, expected);
      deadlines.close();
      mock.timers.reset();
    });
  });
});
