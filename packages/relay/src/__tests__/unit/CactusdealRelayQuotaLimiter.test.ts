import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '@cactusdeal/shared';
import { encodeMessage, MessageKind } from '../../CactusdealRelayFrames.js';
import { createEntryQuotas, type EntryQuotas } from '../../CactusdealRelayQuotaLimiter.js';
import {
  parseState,
  parseSummary,
  parseUsage,
  toStateMessage,
  toSummaryMessage,
  toUsageMessage,
} from '../../CactusdealRelayQuotaWire.js';
import { buildOrganisation, decodeFrame } from '../CactusdealRelayFixtures.js';

const RULE = buildOrganisation({ name: 'north', callsPerSecond: 71, burst: 71 });
const HOSTS = 71;

function createLimiter(isIsolated: boolean, seed = 1): EntryQuotas {
  const limiter = createEntryQuotas(createSeededRandom(seed));
  limiter.setIsolation(isIsolated, HOSTS);
  return limiter;
}

function countAdmitted(limiter: EntryQuotas, atMs: readonly number[]): number {
  return atMs.filter((nowMs) => limiter.admit(RULE, nowMs).isAdmitted).length;
}

const listTimes = (count: number, stepMs: number): readonly number[] =>
  Array.from({ length: count }, (_, index) => index * stepMs);

describe('the limiter of an entry', () => {
  it('admits one call at first and then its share of the rate while it is isolated', () => {
    assert.equal(countAdmitted(createLimiter(true), listTimes(100, 100)), 1 + 9);
  });

  it('gives back a token in isolation for a call that has not run', () => {
    const limiter = createLimiter(true);
    assert.equal(countAdmitted(limiter, [0, 0]), 1);
    limiter.release(RULE.name);
    assert.equal(countAdmitted(limiter, [0, 0]), 1);
  });

  it('admits a fraction of the first calls of many entries', () => {
    const throttles = [{ name: RULE.name, fraction: 0.25, level: 0, demand: 284 }];
    const admitted = listTimes(1_000, 1).filter((seed) => {
      const limiter = createLimiter(false, seed);
      limiter.setThrottles(throttles);
      return limiter.admit(RULE, 0).isAdmitted;
    });
    assert.ok(Math.abs(admitted.length - 250) < 50, `${admitted.length}`);
  });

  it('spreads the times after which refused callers may come again', () => {
    const limiter = createLimiter(false);
    limiter.setThrottles([{ name: RULE.name, fraction: 0, level: -71, demand: 284 }]);
    const delays = listTimes(200, 1).map((nowMs) => limiter.admit(RULE, nowMs).retryAfterMs);
    // The level is even after 1 s, and the calls refused in a second need 3 s of the rate.
    assert.ok(Math.min(...delays) >= 1_000 && Math.max(...delays) <= 4_000);
    assert.ok(Math.max(...delays) - Math.min(...delays) > 2_000);
  });

  it('reports only organisations that had calls, less those given back', () => {
    const limiter = createLimiter(false);
    countAdmitted(limiter, [0, 1, 2]);
    limiter.release(RULE.name);
    const expected = [{ name: RULE.name, arrivals: 3, admitted: 2, throttle: undefined }];
    assert.deepEqual(limiter.takeUsage(3), expected);
    assert.deepEqual(limiter.takeUsage(4), []);
  });

  it('asks for an early report only for more calls than the whole rate explains', () => {
    const limiter = createLimiter(false);
    limiter.takeUsage(0);
    countAdmitted(limiter, listTimes(35, 7));
    assert.equal(limiter.hasSurge(), false);
    countAdmitted(limiter, Array<number>(10).fill(245));
    assert.equal(limiter.hasSurge(), true);
  });
});

describe('messages of the quotas', () => {
  const throttle = { fraction: 0.25, level: -3, demand: 90 };

  it('arrive as they were sent', () => {
    const usages = [
      { name: 'a', arrivals: 3, admitted: -1, throttle: undefined },
      { name: 'b', arrivals: 9, admitted: 2, throttle },
    ];
    const sums = [{ name: 'a', arrivals: 3, admitted: 2, level: -4 }];
    const throttles = [{ name: 'b', ...throttle }];
    assert.deepEqual(parseUsage(decodeFrame(encodeMessage(toUsageMessage(usages)))), usages);
    assert.deepEqual(parseState(decodeFrame(encodeMessage(toStateMessage(throttles)))), throttles);
    const summary = { hosts: 24, sums };
    const decoded = parseSummary(decodeFrame(encodeMessage(toSummaryMessage(summary))));
    assert.deepEqual(decoded, summary);
  });

  it('are read without the rows that are not valid', () => {
    const rows = [1, null, [], ['a'], ['a', 'b', 1], [7, 1, 1], ['a', 1, NaN]];
    assert.deepEqual(parseUsage([MessageKind.QuotaUsage, ...rows]), []);
    assert.deepEqual(parseState([MessageKind.QuotaState, ...rows]), []);
    assert.deepEqual(parseSummary([MessageKind.QuotaSummary, 'x', ...rows]).sums, []);
  });
});
