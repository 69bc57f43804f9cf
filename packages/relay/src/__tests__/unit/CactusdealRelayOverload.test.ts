import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runOverload } from '../../bench/CactusdealRelayBenchOverload.js';
import { RELAY_POLICY, FIFO_POLICY } from '../../bench/CactusdealRelayBenchOverloadPolicies.js';

const SEED = 7;
const DURATION_MS = 6_000;

/** Least fraction of the greatest possible worth that the relay must keep. */
const MIN_WORTH_FRACTION = 0.9;

describe('overload of all services', () => {
  [1, 1.5, 2.5].forEach((load) => {
    it(`keeps most of the possible worth at ${load} times capacity`, () => {
      const relay = runOverload(RELAY_POLICY, load, SEED, DURATION_MS);
      const possible = 1 / load;
      assert.ok(relay.worthKept >= MIN_WORTH_FRACTION * possible, JSON.stringify(relay));
    });
  });

  it('keeps more worth than FIFO queues do', () => {
    const relay = runOverload(RELAY_POLICY, 1.5, SEED, DURATION_MS);
    const fifo = runOverload(FIFO_POLICY, 1.5, SEED, DURATION_MS);
    assert.ok(relay.worthKept > 2 * fifo.worthKept, JSON.stringify([relay, fifo]));
  });

  it('refuses most calls without delay', () => {
    assert.equal(runOverload(RELAY_POLICY, 2.5, SEED, DURATION_MS).refusalDelayMs.p50, 0);
  });
});
