import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type CallIdentity, createUnservedCalls } from '../../CactusdealRelayReturns.js';

const buildIdentity = (changes: Partial<CallIdentity> = {}): CallIdentity => ({
  method: 'GET',
  host: 'a.example',
  path: '/records/1',
  remainingMs: 1_000,
  ...changes,
});

/** A call is not served at 0 ms; another one comes at 300 ms. */
const cases: readonly [name: string, call: Partial<CallIdentity>, firstAtMs: number][] = [
  ['knows a caller that comes again with what is left of its time', { remainingMs: 700 }, 0],
  ['knows it though a few milliseconds were lost on the way', { remainingMs: 670 }, 0],
  ['takes one that offers its whole time for another caller', { remainingMs: 1_000 }, 300],
  ['takes one with little patience for another caller', { remainingMs: 400 }, 300],
  ['tells paths apart', { remainingMs: 700, path: '/records/2' }, 300],
  ['tells hosts apart', { remainingMs: 700, host: 'b.example' }, 300],
  ['tells methods apart', { remainingMs: 700, method: 'PUT' }, 300],
];

describe('calls that come again', () => {
  cases.forEach(([name, call, firstAtMs]) => {
    it(name, () => {
      const unservedCalls = createUnservedCalls();
      unservedCalls.record(buildIdentity(), 0, 0);
      assert.equal(unservedCalls.findFirstAtMs(buildIdentity(call), 300), firstAtMs);
    });
  });

  it('count from the first time after a second refusal', () => {
    const unservedCalls = createUnservedCalls();
    unservedCalls.record(buildIdentity(), 0, 0);
    unservedCalls.record(buildIdentity({ remainingMs: 700 }), 300, 0);
    assert.equal(unservedCalls.findFirstAtMs(buildIdentity({ remainingMs: 400 }), 600), 0);
  });

  it('are forgotten when many came since', () => {
    const unservedCalls = createUnservedCalls();
    unservedCalls.record(buildIdentity(), 0, 0);
    for (let index = 0; index < 3_000; index += 1) {
      unservedCalls.record(buildIdentity({ path: `/other/${index}` }), 100, 100);
    }
    assert.equal(unservedCalls.findFirstAtMs(buildIdentity({ remainingMs: 700 }), 300), 300);
  });
});
