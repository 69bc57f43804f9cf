import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runRetries } from '../../bench/CactusdealRelayBenchRetries.js';

/** Most requests at any service for each call, at any depth. */
const MAX_AMPLIFICATION = 1.1;

describe('a chain of services whose last one fails every call', () => {
  [2, 4, 8].forEach((depth) => {
    it(`repeats few calls at a depth of ${depth}`, async () => {
      const report = await runRetries(depth, 200);
      assert.ok(report.sentAtLast >= report.wanted, JSON.stringify(report));
      assert.ok(report.amplification <= MAX_AMPLIFICATION, JSON.stringify(report));
    });
  });
});
