import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runOverload } from '../../bench/CactusdealRelayBenchOverload.js';
import { RELAY_POLICY, FIFO_POLICY } from '../../bench/CactusdealRelayBenchOverloadPolicies.js';

const SEED = 7;
const DURATION_MS = 6_000;

/** Least part of what the upstreams can earn at most that has to be kept. */
const LEAST_KEPT = 0.9;

describe('load at its worst', () => {
  [1, 1.5, 2.5].forEach((load) => {
    it(`keeps most of what can be earned at ${load} times capacity`, () => {
      const own = runOverload(RELAY_POLICY, load, SEED, DURATION_MS);
      const possible = 1 / load;
      assert.ok(own.worthKept >= LEAST_KEPT * possible, JSON.stringify(own));
    });
  });

  it('keeps more than plain queues do', () => {
    const own = runOverload(RELAY_POLICY, 1.5, SEED, DURATION_MS);
    const plain = runOverload(FIFO_POLICY, 1.5, SEED, DURATION_MS);
    assert.ok(own.worthKept > 2 * plain.worthKept, JSON.stringify([own, plain]));
  });

  it('tells most callers at once that there is no room', () => {
    assert.equal(runOverload(RELAY_POLICY, 2.5, SEED, DURATION_MS).refusalDelayMs.p50, 0);
  });
});
