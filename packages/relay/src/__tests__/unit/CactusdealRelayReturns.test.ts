import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type CallIdentity, createReturns } from '../../CactusdealRelayReturns.js';

const buildIdentity = (changes: Partial<CallIdentity> = {}): CallIdentity => ({
  method: 'GET',
  host: 'a.example',
  path: '/records/1',
  offeredMs: 1_000,
  ...changes,
});

/** A call is not served at 0 ms; another one comes at 300 ms. */
const cases: readonly [name: string, call: Partial<CallIdentity>, firstAtMs: number][] = [
  ['knows a caller that comes again with what is left of its time', { offeredMs: 700 }, 0],
  ['knows it though a few milliseconds were lost on the way', { offeredMs: 670 }, 0],
  ['takes one that offers its whole time for another caller', { offeredMs: 1_000 }, 300],
  ['takes one with little patience for another caller', { offeredMs: 400 }, 300],
  ['tells paths apart', { offeredMs: 700, path: '/records/2' }, 300],
  ['tells hosts apart', { offeredMs: 700, host: 'b.example' }, 300],
  ['tells methods apart', { offeredMs: 700, method: 'PUT' }, 300],
];

describe('calls that come again', () => {
  cases.forEach(([name, call, firstAtMs]) => {
    it(name, () => {
      const returns = createReturns();
      returns.record(buildIdentity(), 0, 0);
      assert.equal(returns.findFirstAtMs(buildIdentity(call), 300), firstAtMs);
    });
  });

  it('count from the first time after a second refusal', () => {
    const returns = createReturns();
    returns.record(buildIdentity(), 0, 0);
    returns.record(buildIdentity({ offeredMs: 700 }), 300, 0);
    assert.equal(returns.findFirstAtMs(buildIdentity({ offeredMs: 400 }), 600), 0);
  });

  it('are forgotten when many came since', () => {
    const returns = createReturns();
    returns.record(buildIdentity(), 0, 0);
    for (let index = 0; index < 3_000; index += 1) {
      returns.record(buildIdentity({ path: `/other/${index}` }), 100, 100);
    }
    assert.equal(returns.findFirstAtMs(buildIdentity({ offeredMs: 700 }), 300), 300);
  });
});
