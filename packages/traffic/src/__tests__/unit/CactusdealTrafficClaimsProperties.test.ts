import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  type Attempt,
  type ClaimAnswer,
  type PlatformFault,
  runClaimWorld,
} from '../CactusdealTrafficClaimWorld.js';

const SEED = 20261204;
const HEALS_AT_MS = 600;
const LAST_MS = 20_000;

const anyFault: fc.Arbitrary<PlatformFault> = fc.record({
  type: fc.constantFrom('none', 'none', 'none', 'notDone', 'lostAnswer', 'lateEffect'),
  delayMs: fc.integer({ min: 0, max: 40 }),
});

const anyAttempt: fc.Arbitrary<Attempt> = fc.record(
  {
    atMs: fc.integer({ min: 0, max: 300 }),
    key: fc.integer({ min: 0, max: 2 }),
    holder: fc.integer({ min: 0, max: 2 }),
    patienceMs: fc.integer({ min: 1, max: 200 }),
    pauseMs: fc.integer({ min: 0, max: 150 }),
    serviceMs: fc.integer({ min: 0, max: 100 }),
    end: fc.constantFrom('answered', 'answered', 'silent', 'notSent'),
    cancelAfterMs: fc.integer({ min: 0, max: 150 }),
  },
  { requiredKeys: ['atMs', 'key', 'holder', 'patienceMs', 'pauseMs', 'serviceMs', 'end'] },
);

const anyCrash = fc.record({
  atMs: fc.integer({ min: 0, max: 300 }),
  holder: fc.integer({ min: 0, max: 2 }),
});

/** A resend of each key long after everything else, over a platform without faults. */
const lastResends = [0, 1, 2].map((key): Attempt => {
  const times = { atMs: LAST_MS, patienceMs: 1_000, pauseMs: 0, serviceMs: 1 };
  return { ...times, key, holder: key, end: 'answered' };
});

function assertConsistent({ text, runsThen, completedThen, attempt }: ClaimAnswer): void {
  if (text === 'KeyClaimed:completed') assert.ok(completedThen, 'completed only what was answered');
  if (attempt.atMs === LAST_MS && runsThen > 0 && text !== 'sent') {
    assert.match(text, /^KeyClaimed:(completed|unknown)$/, 'a key that ran stays claimed');
  }
}

describe('claims, any order of attempts, crashes and faults of the platform', () => {
  it('runs a key at most once and answers what happened', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.boolean(),
        fc.array(anyFault, { minLength: 1, maxLength: 30 }),
        fc.array(anyAttempt, { minLength: 1, maxLength: 12 }),
        fc.array(anyCrash, { maxLength: 2 }),
        async (isGrouped, faults, attempts, crashes) => {
          const all = [...attempts, ...lastResends];
          const world = { faults, attempts: all, crashes, healsAtMs: HEALS_AT_MS, isGrouped };
          const { runs, answers } = await runClaimWorld(world);
          runs.forEach((count) => assert.ok(count <= 1, `ran ${count} times`));
          answers.forEach(assertConsistent);
        },
      ),
      { seed: SEED, numRuns: 1_000 },
    );
  });

  it('gives a key back that was claimed and never sent, so that a resend runs', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.boolean(),
        fc.array(anyFault, { minLength: 1, maxLength: 30 }),
        fc.array(anyAttempt, { minLength: 1, maxLength: 6 }),
        async (isGrouped, faults, drawn) => {
          const attempts = drawn.map((attempt): Attempt => ({ ...attempt, end: 'notSent' }));
          const all = [...attempts, ...lastResends];
          const world = { faults, attempts: all, crashes: [], healsAtMs: HEALS_AT_MS, isGrouped };
          const { runs } = await runClaimWorld(world);
          assert.deepEqual([...runs.values()], [1, 1, 1]);
        },
      ),
      { seed: SEED, numRuns: 300 },
    );
  });
});
