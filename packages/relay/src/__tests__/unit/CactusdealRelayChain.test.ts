import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runRetries } from '../../bench/CactusdealRelayBenchRetries.js';

/** Calls sent for each one wanted, at any depth. */
const MOST_AMPLIFICATION = 1.1;

describe('a chain of services whose last one fails every call', () => {
  [2, 4, 8].forEach((depth) => {
    it(`sends few calls again at a depth of ${depth}`, async () => {
      const report = await runRetries(depth, 200);
      assert.ok(report.sentAtLast >= report.wanted, JSON.stringify(report));
      assert.ok(report.amplification <= MOST_AMPLIFICATION, JSON.stringify(report));
    });
  });
});
