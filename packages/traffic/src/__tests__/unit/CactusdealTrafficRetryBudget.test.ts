import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createSeededRandom } from '@cactusdeal/shared';
import { createRetryBudget } from '../../CactusdealTrafficRetryBudget.js';

const SEED = 20261204;
const RATIO = 0.1;
const CALLS = 3000;
/** Tokens that the accounts of a fresh daemon hold, whatever was earned. */
const INITIAL_TOKENS = 2;

/** Sends chains of calls of one depth whose leaf fails by chance; counts what was sent and lost. */
function countSent(depth: number, failing: number, seed: number) {
  const random = createSeededRandom(seed);
  const accounts = Array.from({ length: depth }, () => createRetryBudget());
  let sent = 0;
  let lost = 0;
  for (let call = 0; call < CALLS; call += 1) if (!runLevel(0, RATIO)) lost += 1;
  return { sent, lost };

  function runLevel(level: number, budget: number): boolean {
    const account = accounts[level];
    if (account === undefined) return random() >= failing;
    let travelling = account.earn('service', budget);
    for (;;) {
      sent += 1;
      if (runLevel(level + 1, travelling)) return true;
      if (!account.spend('service')) return false;
      travelling = 0;
    }
  }
}

describe('the retry budget', () => {
  for (const depth of [1, 4, 8, 16]) {
    it(`a tree of depth ${depth} sends at most 1.1 times what is wanted`, () => {
      fc.assert(
        fc.property(fc.double({ min: 0, max: 1, noNaN: true }), fc.nat(), (failing, seed) => {
          const { sent } = countSent(depth, failing, seed);
          const initial = (INITIAL_TOKENS * depth * (depth + 1)) / 2;
          assert.ok(sent <= CALLS * depth * (1 + RATIO) + initial, `${sent / (CALLS * depth)}`);
        }),
        { seed: SEED, numRuns: 20 },
      );
    });
  }

  it('still retries a failure that is rare', () => {
    const { sent, lost } = countSent(2, 0.01, SEED);
    assert.ok(sent > CALLS * 2);
    assert.equal(lost, 0);
  });
});
