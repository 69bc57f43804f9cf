import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  type SimulatedAttempt,
  type AttemptReport,
  type PlatformFault,
  runClaimSimulation,
} from '../CactusdealTrafficClaimSimulation.js';

const SEED = 20261204;
const FAULTS_END_AT_MS = 600;
const LAST_RESEND_AT_MS = 20_000;

const anyFault: fc.Arbitrary<PlatformFault> = fc.record({
  type: fc.constantFrom('none', 'none', 'none', 'notDone', 'lostAnswer', 'lateEffect'),
  delayMs: fc.integer({ min: 0, max: 40 }),
});

const anyAttempt: fc.Arbitrary<SimulatedAttempt> = fc.record(
  {
    atMs: fc.integer({ min: 0, max: 300 }),
    key: fc.integer({ min: 0, max: 2 }),
    holder: fc.integer({ min: 0, max: 2 }),
    timeoutMs: fc.integer({ min: 1, max: 200 }),
    pauseMs: fc.integer({ min: 0, max: 150 }),
    serviceMs: fc.integer({ min: 0, max: 100 }),
    end: fc.constantFrom('answered', 'answered', 'silent', 'notSent'),
    cancelAfterMs: fc.integer({ min: 0, max: 150 }),
  },
  { requiredKeys: ['atMs', 'key', 'holder', 'timeoutMs', 'pauseMs', 'serviceMs', 'end'] },
);

const anyCrash = fc.record({
  atMs: fc.integer({ min: 0, max: 300 }),
  holder: fc.integer({ min: 0, max: 2 }),
});

/** A resend of each key long after all other attempts, over a platform without faults. */
const finalResends = [0, 1, 2].map((key): SimulatedAttempt => {
  const times = { atMs: LAST_RESEND_AT_MS, timeoutMs: 1_000, pauseMs: 0, serviceMs: 1 };
  return { ...times, key, holder: key, end: 'answered' };
});

function assertReportMatches({
  result,
  runsAtReport,
  isCompletedAtReport,
  attempt,
}: AttemptReport): void {
  if (result === 'KeyClaimed:completed')
    assert.ok(isCompletedAtReport, 'completed was reported of a key that was not answered');
  if (attempt.atMs === LAST_RESEND_AT_MS && runsAtReport > 0 && result !== 'sent') {
    assert.match(
      result,
      /^KeyClaimed:(completed|unknown)$/,
      'a key that ran was not refused as claimed',
    );
  }
}

describe('claims under any order of attempts, crashes and platform faults', () => {
  it('runs a key at most once and reports what happened to it', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.boolean(),
        fc.array(anyFault, { minLength: 1, maxLength: 30 }),
        fc.array(anyAttempt, { minLength: 1, maxLength: 12 }),
        fc.array(anyCrash, { maxLength: 2 }),
        async (isGrouped, faults, attempts, crashes) => {
          const all = [...attempts, ...finalResends];
          const options = {
            faults,
            attempts: all,
            crashes,
            faultsEndAtMs: FAULTS_END_AT_MS,
            isGrouped,
          };
          const { runs, reports } = await runClaimSimulation(options);
          runs.forEach((count) => assert.ok(count <= 1, `a key ran ${count} times`));
          reports.forEach(assertReportMatches);
        },
      ),
      { seed: SEED, numRuns: 1_000 },
    );
  });

  it('releases a key that was claimed but never sent, so that a resend runs', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.boolean(),
        fc.array(anyFault, { minLength: 1, maxLength: 30 }),
        fc.array(anyAttempt, { minLength: 1, maxLength: 6 }),
        async (isGrouped, faults, drawn) => {
          const attempts = drawn.map((attempt): SimulatedAttempt => ({
            ...attempt,
            end: 'notSent',
          }));
          const all = [...attempts, ...finalResends];
          const options = {
            faults,
            attempts: all,
            crashes: [],
            faultsEndAtMs: FAULTS_END_AT_MS,
            isGrouped,
          };
          const { runs } = await runClaimSimulation(options);
          assert.deepEqual([...runs.values()], [1, 1, 1]);
        },
      ),
      { seed: SEED, numRuns: 300 },
    );
  });
});
