import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runDrain } from '../../bench/CactusdealRelayBenchDrain.js';

describe('an upstream that drains under load', () => {
  [50, 150].forEach((callsPerSecond) => {
    it(`gets no new call and loses none at ${callsPerSecond} calls per second`, async () => {
      const report = await runDrain({ callsPerSecond, serviceMs: 120, phaseMs: 600 });
      assert.ok(report.running > 0, JSON.stringify(report));
      assert.deepEqual([report.newCalls, report.cutOff], [0, 0], JSON.stringify(report));
    });
  });
});
