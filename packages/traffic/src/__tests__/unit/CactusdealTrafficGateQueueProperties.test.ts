import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  runSimulation,
  type SimulatedCall,
  type SimulationResult,
} from '../CactusdealTrafficSimulation.js';

const SEED = 20261204;
const CLASSES = ['orders', 'records', 'photographs', 'complaints'];
const RANKS = ['critical', 'high', 'normal', 'low'] as const;

const anyCall: fc.Arbitrary<SimulatedCall> = fc.record(
  {
    atMs: fc.integer({ min: 0, max: 150 }),
    className: fc.constantFrom(...CLASSES),
    rank: fc.constantFrom(...RANKS),
    share: fc.constantFrom(0, 0.1, 0.25, 0.5),
    worth: fc.integer({ min: 0, max: 5 }),
    timeoutMs: fc.integer({ min: 0, max: 120 }),
    serviceMs: fc.integer({ min: 1, max: 60 }),
    cancelAfterMs: fc.integer({ min: 0, max: 100 }),
  },
  { requiredKeys: ['atMs', 'className', 'rank', 'share', 'worth', 'timeoutMs', 'serviceMs'] },
);

function assertSlotsAccounted(
  { outcomes, observations }: SimulationResult,
  queueLimit: number,
): void {
  outcomes.forEach(({ results }) => assert.equal(results.length, 1));
  observations.forEach((seen) => {
    assert.equal(seen.running, seen.inUse, 'the slots in use differ from the running calls');
    assert.ok(seen.queued <= queueLimit, 'the queue limit is exceeded');
  });
  const last = observations.at(-1);
  assert.deepEqual([last?.inUse, last?.queued], [0, 0], 'slots or queue entries leaked');
}

/** Slot time of the victim class during the flood, relative to what its share guarantees. */
function computeServedFraction(
  result: SimulationResult,
  guaranteedSlots: number,
  durationMs: number,
): number {
  const usedMs = result.outcomes
    .filter(({ call }) => call.className === 'victim')
    .map(({ startedAtMs, endedAtMs }) => {
      if (startedAtMs === undefined || endedAtMs === undefined) return 0;
      return Math.max(0, Math.min(endedAtMs, durationMs) - startedAtMs);
    })
    .reduce((total, ms) => total + ms, 0);
  return usedMs / (guaranteedSlots * durationMs);
}

describe('gate queue under any order of arrivals, completions and cancellations', () => {
  it('runs at most as many calls as it has slots, and leaks no slots', async () => {
    const anySlots = fc.integer({ min: 1, max: 5 });
    await fc.assert(
      fc.asyncProperty(
        fc.array(anyCall, { minLength: 1, maxLength: 60 }),
        anySlots,
        fc.integer({ min: 0, max: 8 }),
        async (calls, slots, queueLimit) => {
          const result = await runSimulation({ calls, slots, queueLimit });
          assertSlotsAccounted(result, queueLimit);
          result.observations.forEach((seen) => assert.ok(seen.inUse <= slots));
        },
      ),
      { seed: SEED, numRuns: 150 },
    );
  });

  it('starts no call while more calls run than there are slots after a change', async () => {
    const anyChange = fc.record({
      atMs: fc.integer({ min: 1, max: 150 }),
      slots: fc.integer({ min: 0, max: 5 }),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.array(anyCall, { minLength: 1, maxLength: 40 }),
        fc.array(anyChange, { maxLength: 4 }),
        async (calls, changes) => {
          const slotChanges = [...changes, { atMs: 160, slots: 3 }];
          const result = await runSimulation({ calls, slots: 3, queueLimit: 5, slotChanges });
          assertSlotsAccounted(result, 5);
          result.observations.forEach((seen, index) => {
            const before = result.observations[index - 1]?.inUse ?? 0;
            assert.ok(seen.inUse <= Math.max(seen.slots, before));
          });
        },
      ),
      { seed: SEED, numRuns: 100 },
    );
  });

  it('keeps the guaranteed share of a class under a flood of any other class', async () => {
    const durationMs = 1_500;
    const serviceMs = 20;
    const buildClass = (
      call: Omit<SimulatedCall, 'atMs' | 'worth' | 'timeoutMs'>,
      everyMs: number,
    ): SimulatedCall[] =>
      Array.from({ length: Math.floor(durationMs / everyMs) }, (_, index) => ({
        ...call,
        atMs: index * everyMs,
        worth: call.className === 'victim' ? 0 : 9,
        timeoutMs: 400,
      }));
    await fc.assert(
      fc.asyncProperty(
        fc.constantFrom(...RANKS),
        fc.constantFrom(...RANKS),
        fc.constantFrom(0.05, 0.1, 0.25, 0.4),
        fc.integer({ min: 1, max: 12 }),
        fc.integer({ min: 5, max: 60 }),
        async (victimRank, floodRank, share, slots, floodServiceMs) => {
          const guaranteedSlots = share * slots;
          const flood = { className: 'flood', rank: floodRank, share: 0.5 };
          const victim = { className: 'victim', rank: victimRank, share, serviceMs };
          const calls = [
            ...buildClass({ ...flood, serviceMs: floodServiceMs }, floodServiceMs / slots / 2),
            ...buildClass(victim, serviceMs / guaranteedSlots / 2),
          ];
          const result = await runSimulation({ calls, slots, queueLimit: 40 });
          assertSlotsAccounted(result, 40);
          const servedFraction = computeServedFraction(result, guaranteedSlots, durationMs);
          assert.ok(
            servedFraction > 0.85,
            `the class got ${servedFraction.toFixed(2)} of its guaranteed share`,
          );
        },
      ),
      { seed: SEED, numRuns: 25 },
    );
  });
});
