import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { isNewer } from '../../CactusdealRelayUpstreamLife.js';
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
