import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createSeededRandom } from '@cactusdeal/shared';
import { createRetryBudget } from '../../CactusdealTrafficRetryBudget.js';

const SEED = 20261204;
const RETRY_BUDGET = 0.1;
const CALLS = 3000;
/** Tokens that each budget has at the start, before anything is earned. */
const INITIAL_TOKENS = 2;

/** Sends chains of calls whose leaf fails at a rate; counts attempts sent and root calls lost. */
function countAttempts(depth: number, failureRate: number, seed: number) {
  const random = createSeededRandom(seed);
  const budgets = Array.from({ length: depth }, () => createRetryBudget());
  let sent = 0;
  let lost = 0;
  for (let call = 0; call < CALLS; call += 1) if (!runLevel(0, RETRY_BUDGET)) lost += 1;
  return { sent, lost };

  function runLevel(level: number, budget: number): boolean {
    const retryBudget = budgets[level];
    if (retryBudget === undefined) return random() >= failureRate;
    let propagated = retryBudget.earn('service', budget);
    for (;;) {
      sent += 1;
      if (runLevel(level + 1, propagated)) return true;
      if (!retryBudget.spend('service')) return false;
      propagated = 0;
    }
  }
}

describe('the retry budget', () => {
  for (const depth of [1, 4, 8, 16]) {
    it(`a tree of depth ${depth} sends at most 1.1 times the attempts of a tree without failures`, () => {
      fc.assert(
        fc.property(fc.double({ min: 0, max: 1, noNaN: true }), fc.nat(), (failureRate, seed) => {
          const { sent } = countAttempts(depth, failureRate, seed);
          const initial = (INITIAL_TOKENS * depth * (depth + 1)) / 2;
          assert.ok(
            sent <= CALLS * depth * (1 + RETRY_BUDGET) + initial,
            `${sent / (CALLS * depth)} times the attempts without failures`,
          );
        }),
        { seed: SEED, numRuns: 20 },
      );
    });
  }

  it('retries every rare failure', () => {
    const { sent, lost } = countAttempts(2, 0.01, SEED);
    assert.ok(sent > CALLS * 2);
    assert.equal(lost, 0);
  });
});
