import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFailureRate } from '../../CactusdealRelayFailureRate.js';
import { isReportDue } from '../../CactusdealRelayGateReport.js';
import { buildGateView } from '../CactusdealRelayFixtures.js';

const rateCases: readonly [
  name: string,
  outcomes: readonly (0 | 1)[],
  idleMs: number,
  range: readonly [number, number],
][] = [
  ['no call', [], 0, [0, 0]],
  ['one failure', [1], 0, [0.05, 0.05]],
  ['60 failures', Array<1>(60).fill(1), 0, [0.9, 1]],
  // Without calls nothing would show that the upstream is sound again.
  ['60 failures and 10 s without calls', Array<1>(60).fill(1), 10_000, [0, 0.1]],
];

describe('failure rate of an upstream', () => {
  rateCases.forEach(([name, outcomes, idleMs, [min, max]]) => {
    it(`is ${min} to ${max} after ${name}`, () => {
      let nowMs = 0;
      const rate = createFailureRate(() => nowMs);
      outcomes.forEach((outcome) => rate.record(outcome));
      nowMs += idleMs;
      assert.ok(rate.get() >= min && rate.get() <= max, String(rate.get()));
    });
  });
});

const reportCases: readonly [
  name: string,
  state: { readonly load: number; readonly failureRate: number },
  told: { readonly load: number; readonly failureRate: number },
  isDue: boolean,
][] = [
  ['an idle gate', { load: 1, failureRate: 0 }, { load: 2, failureRate: 0 }, false],
  ['a loaded gate', { load: 6, failureRate: 0 }, { load: 6, failureRate: 0 }, true],
  ['a gate that was loaded', { load: 0, failureRate: 0 }, { load: 6, failureRate: 0 }, true],
  ['an idle gate that fails', { load: 0, failureRate: 0.4 }, { load: 0, failureRate: 0 }, true],
  ['one that recovered', { load: 0, failureRate: 0.1 }, { load: 0, failureRate: 0.8 }, true],
];

describe('report within the data centre', () => {
  reportCases.forEach(([name, state, told, isDue]) => {
    it(`is ${isDue ? '' : 'not '}due for ${name}`, () => {
      assert.equal(isReportDue(buildGateView({ report: state }).report, told), isDue);
    });
  });
});
