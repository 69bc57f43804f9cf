import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSilentLog } from '@cactusdeal/shared';
import { createUpstreamTracker, isNewer } from '../../CactusdealRelayUpstreamLife.js';
import type { Upstream } from '../../CactusdealRelayTypes.js';
import { buildUpstream } from '../CactusdealRelayFixtures.js';

const known = { id: 'u1', startedAtMs: 1_000, sequence: 5 } as const;

const cases: readonly [name: string, known: Partial<Upstream>, next: Partial<Upstream>, boolean][] =
  [
    ['the next of the same life', known, { ...known, sequence: 6 }, true],
    ['the same again', known, known, false],
    ['one that was overtaken', known, { ...known, sequence: 4 }, false],
    ['a later life under the same id', known, { ...known, startedAtMs: 2_000, sequence: 1 }, true],
    [
      'an earlier life under the same id',
      known,
      { ...known, startedAtMs: 500, sequence: 9 },
      false,
    ],
    ['a later life under another id', known, { id: 'u2', startedAtMs: 2_000, sequence: 1 }, true],
    ['an earlier life under another id', known, { id: 'u0', startedAtMs: 10, sequence: 9 }, false],
    [
      'a late one of a life that has ended',
      { ...known, state: 'gone' },
      { ...known, sequence: 9 },
      false,
    ],
  ];

describe('heartbeat that counts', () => {
  cases.forEach(([name, before, next, expected]) => {
    it(`${expected ? 'takes' : 'passes over'} ${name}`, () => {
      assert.equal(isNewer(buildUpstream(next), buildUpstream(before)), expected);
    });
  });
});

interface EndCase {
  readonly name: string;
  /** Start that the end named; undefined when it named none. */
  readonly start: number | undefined;
  /** Start of the heartbeat that comes after the end. */
  readonly next: number;
  readonly isTaken: boolean;
}

const NOW_MS = 5_000;

const ends: readonly EndCase[] = [
  { name: 'a late heartbeat of the same life', start: 1_000, next: 1_000, isTaken: false },
  { name: 'a later life', start: 1_000, next: 1_001, isTaken: true },
  {
    name: 'a late heartbeat when no start was named',
    start: undefined,
    next: 1_000,
    isTaken: false,
  },
  { name: 'a later life when no start was named', start: undefined, next: 6_000, isTaken: true },
];

describe('end of a life that the daemon did not know', () => {
  ends.forEach(({ name, start, next, isTaken }) => {
    it(`${isTaken ? 'lets in' : 'keeps out'} ${name}`, () => {
      const life = createUpstreamTracker({
        heartbeatMs: 1_000,
        clock: () => 0,
        wallClock: () => NOW_MS,
        log: createSilentLog(),
        observe: () => {},
      });
      life.receiveEnd('u1', start);
      const heartbeat = { ...buildUpstream({ startedAtMs: next }), address: '127.0.0.1:1' };
      assert.equal(life.receive(heartbeat), isTaken);
      life.close();
    });
  });
});
