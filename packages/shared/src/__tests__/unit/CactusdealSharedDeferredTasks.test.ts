import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MessageChannel } from 'node:worker_threads';
import { createDeferredTasks } from '../../CactusdealSharedDeferredTasks.js';
import { waitMs } from '../../CactusdealSharedTime.js';

/** Turns of the event loop from the one in which a task is scheduled to the one that runs it. */
const EXPECTED_TURNS = 1;
const LONG_TURN_MS = 700;

interface Case {
  readonly name: string;
  /** Turns in which tasks are scheduled while the loop reads input, in order. */
  readonly scheduledIn: readonly number[];
  /** Turns of 700 ms, after whose reading of input the process stands still. */
  readonly longTurns?: readonly number[];
  /** Turns that pass before each task. */
  readonly expected?: readonly number[];
}

const cases: readonly Case[] = [
  { name: 'one task', scheduledIn: [0] },
  { name: 'two tasks of one turn', scheduledIn: [0, 0] },
  { name: 'tasks of two turns', scheduledIn: [0, 1] },
  { name: 'tasks of every turn', scheduledIn: [0, 1, 2, 3, 4, 5] },
  { name: 'tasks of turns apart', scheduledIn: [0, 2, 5, 6] },
  { name: 'a task read before a long turn', scheduledIn: [0], longTurns: [1], expected: [2] },
  { name: 'a task read in a long turn', scheduledIn: [0], longTurns: [0], expected: [2] },
  { name: 'a task in long turns only', scheduledIn: [0], longTurns: [0, 1, 2, 3], expected: [3] },
];

// Guards against GONE: a call that joined others waited for less than the end of its connection takes.
describe('a whole turn passes before each deferred task', () => {
  cases.forEach(({ name, scheduledIn, longTurns = [], expected }) => {
    it(name, async () => {
      let nowMs = 0;
      const deferredTasks = createDeferredTasks(() => nowMs);
      const waitedTurns: number[] = [];
      let turn = 0;
      const turns = startTurns(() => {
        const atTurn = turn;
        scheduledIn
          .filter((at) => at === atTurn)
          .forEach(() => deferredTasks.schedule(() => waitedTurns.push(turn - 1 - atTurn)));
        if (longTurns.includes(turn)) nowMs += LONG_TURN_MS;
        turn += 1;
      });
      while (waitedTurns.length < scheduledIn.length) await waitMs(1);
      turns.close();
      assert.deepEqual(waitedTurns, expected ?? scheduledIn.map(() => EXPECTED_TURNS));
    });
  });
});

/** Calls `handle` while the event loop reads input, once in each turn. */
function startTurns(handle: () => void): { close(): void } {
  const { port1, port2 } = new MessageChannel();
  const startTurn = (): void => port1.postMessage('');
  port2.on('message', () => {
    handle();
    setImmediate(startTurn);
  });
  startTurn();
  return { close: () => port1.close() };
}
