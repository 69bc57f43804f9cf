import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type CallIdentity, createUnservedCalls } from '../../CactusdealRelayUnservedCalls.js';

const buildIdentity = (changes: Partial<CallIdentity> = {}): CallIdentity => ({
  method: 'GET',
  host: 'a.example',
  path: '/records/1',
  remainingMs: 1_000,
  ...changes,
});

/**
 * A call is not served at 0 ms; another call arrives at 300 ms. `firstAtMs` is 0 if it is
 * recognised as a retry.
 */
const cases: readonly [name: string, call: Partial<CallIdentity>, firstAtMs: number][] = [
  ['recognises a retry by its remaining time', { remainingMs: 700 }, 0],
  ['recognises a retry that lost a few milliseconds on the way', { remainingMs: 670 }, 0],
  ['takes a call with a later deadline for a new one', { remainingMs: 1_000 }, 300],
  ['takes a call with an earlier deadline for a new one', { remainingMs: 400 }, 300],
  ['distinguishes paths', { remainingMs: 700, path: '/records/2' }, 300],
  ['distinguishes hosts', { remainingMs: 700, host: 'b.example' }, 300],
  ['distinguishes methods', { remainingMs: 700, method: 'PUT' }, 300],
];

describe('retries of unserved calls', () => {
  cases.forEach(([name, call, firstAtMs]) => {
    it(name, () => {
      const unservedCalls = createUnservedCalls();
      unservedCalls.record(buildIdentity(), 0, 0);
      assert.equal(unservedCalls.findFirstAtMs(buildIdentity(call), 300), firstAtMs);
    });
  });

  it('keep the time of the first try after a second refusal', () => {
    const unservedCalls = createUnservedCalls();
    unservedCalls.record(buildIdentity(), 0, 0);
    unservedCalls.record(buildIdentity({ remainingMs: 700 }), 300, 0);
    assert.equal(unservedCalls.findFirstAtMs(buildIdentity({ remainingMs: 400 }), 600), 0);
  });

  it('are not recognised after too many other calls', () => {
    const unservedCalls = createUnservedCalls();
    unservedCalls.record(buildIdentity(), 0, 0);
    for (let index = 0; index < 3_000; index += 1) {
      unservedCalls.record(buildIdentity({ path: `/other/${index}` }), 100, 100);
    }
    assert.equal(unservedCalls.findFirstAtMs(buildIdentity({ remainingMs: 700 }), 300), 300);
  });
});
