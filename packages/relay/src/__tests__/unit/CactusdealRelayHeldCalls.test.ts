import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createDeferredTasks, createSilentLog, waitMs } from '@cactusdeal/shared';
import { createHeldCalls } from '../../CactusdealRelayHeldCalls.js';
import { buildCall } from '../CactusdealRelayFixtures.js';
import { NAMES } from '../CactusdealRelayTestCluster.js';

/** Difference between the clocks of the two daemons, in milliseconds. */
const OFFSET_MS = 1_000_000;

/** Time of a message on its way without delay, in milliseconds. */
const ONE_WAY_MS = 2;

interface Case {
  readonly name: string;
  /** How long the call is on its way, in milliseconds; undefined if its daemon names no times. */
  readonly delayMs: number | undefined;
  readonly remainingMs: number;
  /** How long the clock of the daemon that sends the call stood still before, in milliseconds. */
  readonly clockStoppedMs?: number;
  /** What arrives after the call is late: a confirmation, or a cancellation and that. */
  readonly arrives?: 'confirmation' | 'cancellation';
  /** Time left to the call when it is served; the reason of the refusal; undefined if neither. */
  readonly expected: number | string | undefined;
}

const cases: readonly Case[] = [
  { name: 'in time', delayMs: 2, remainingMs: 250, expected: 250 },
  { name: 'without a time of sending', delayMs: undefined, remainingMs: 250, expected: 250 },
  { name: 'a little late', delayMs: 62, remainingMs: 250, expected: 190 },
  { name: 'a little late, over its time', delayMs: 62, remainingMs: 40, expected: 'expired' },
  {
    name: 'late, over its time',
    delayMs: 602,
    remainingMs: 250,
    arrives: 'confirmation',
    expected: 'expired',
  },
  {
    name: 'late and wanted',
    delayMs: 602,
    remainingMs: 1_000,
    arrives: 'confirmation',
    expected: 396,
  },
  {
    name: 'late, its cancellation on the way',
    delayMs: 602,
    remainingMs: 1_000,
    arrives: 'cancellation',
    expected: undefined,
  },
  {
    name: 'late, from a daemon that stands still',
    delayMs: 602,
    remainingMs: 1_000,
    expected: 'unconfirmed',
  },
  {
    name: 'in time, from a daemon whose clock had stopped',
    delayMs: 2,
    remainingMs: 250,
    clockStoppedMs: 5_000,
    arrives: 'confirmation',
    expected: 242,
  },
];

// Guards against GONE: a call that lay on a link or in a daemon got back the time that it had lain.
describe('a call that arrives over a link', () => {
  cases.forEach(({ name, delayMs, remainingMs, clockStoppedMs = 0, arrives, expected }) => {
    it(`${name}: ${typeof expected === 'number' ? `${expected} ms left` : expected}`, async () => {
      let nowMs = 0;
      const ends: (number | string)[] = [];
      const heldCalls = createHeldCalls({
        clock: () => nowMs,
        names: NAMES,
        log: createSilentLog(),
        serve: (_, call) => ends.push(call.remainingMs),
        refuse: (_, end) => ends.push(end.type === 'not-run' ? end.reason : end.type),
        confirm: () => {
          if (arrives === undefined) return;
          if (arrives === 'cancellation') heldCalls.cancel(1);
          nowMs += ONE_WAY_MS;
          const answeredAtMs = getSenderMs();
          nowMs += ONE_WAY_MS;
          heldCalls.receiveConfirmation(answeredAtMs);
        },
      });
      const getSenderMs = (): number => nowMs + OFFSET_MS - clockStoppedMs;
      heldCalls.receiveTime(nowMs - ONE_WAY_MS + OFFSET_MS);
      const sentAtMs = getSenderMs();
      nowMs += delayMs ?? 0;
      const sentTime = delayMs === undefined ? undefined : sentAtMs;
      heldCalls.hold(1, buildCall({ remainingMs }), sentTime);
      const turns = createDeferredTasks();
      for (let turn = 0; turn < 3; turn += 1) await turns.wait();
      while (expected === 'unconfirmed' && ends.length === 0) await waitMs(1);
      assert.deepEqual(ends, expected === undefined ? [] : [expected]);
      heldCalls.close();
    });
  });
});
