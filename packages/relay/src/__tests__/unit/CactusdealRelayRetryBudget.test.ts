import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRetryBudget } from '../../CactusdealRelayRetryBudget.js';

const cases: readonly [name: string, calls: number, waitMs: number, expected: number][] = [
  ['the reserve without calls', 0, 0, 3],
  ['no more than the reserve after many calls', 1_000, 0, 3],
  ['the reserve again after the refill time', 0, 10_000, 3],
];

describe('retry budget', () => {
  cases.forEach(([name, calls, waitMs, expected]) => {
    it(`grants ${name}`, () => {
      let nowMs = 0;
      const retryBudget = createRetryBudget({
        ratio: 0.1,
        rerunRatio: 0.05,
        reserve: 3,
        refillMs: 10_000,
        clock: () => nowMs,
      });
      for (let call = 0; call < calls; call += 1) retryBudget.deposit('records');
      if (waitMs > 0) while (retryBudget.tryWithdraw('records', false));
      nowMs = waitMs;
      let given = 0;
      while (retryBudget.tryWithdraw('records', false)) given += 1;
      assert.equal(given, expected);
    });
  });

  const grantCases: readonly [condition: string, mayHaveRun: boolean, min: number, max: number][] =
    [
      ['retries for a tenth of the calls if upstreams shed all', false, 99, 104],
      ['half of that if all fail and may have run', true, 49, 54],
    ];
  grantCases.forEach(([condition, mayHaveRun, min, max]) => {
    it(`grants ${condition}`, () => {
      const retryBudget = createRetryBudget({
        ratio: 0.1,
        rerunRatio: 0.05,
        reserve: 3,
        refillMs: 10_000,
        clock: () => 0,
      });
      let given = 0;
      for (let call = 0; call < 1_000; call += 1) {
        retryBudget.deposit('records');
        if (retryBudget.tryWithdraw('records', mayHaveRun)) given += 1;
      }
      assert.ok(given >= min && given <= max, String(given));
    });
  });
});
