import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createConfigurationHolder } from '@cactusdeal/configuration';
import { createMemoryPlatform, type Platform } from '@cactusdeal/platform';
import fc from 'fast-check';
import type { Either } from 'purify-ts';
import {
  type Acceptance,
  type ConfirmFailure,
  ConfirmFailureKind,
  confirmPlan,
  createCheckpointWriter,
} from '../../index.js';
import {
  ADD_RECORDS,
  buildChange,
  createLoggedHolder,
  planStored,
  readLoggedPlanId,
} from '../CactusdealOperatorSamples.js';
import { CallFault, wrapPlatform } from '../CactusdealOperatorTestPlatform.js';

const OPTIONS = { clock: () => 7, random: () => 0 };
const PROPERTY_RUNS = { seed: 20261204, numRuns: 300 };
/** Above the number of platform calls that one confirmation makes. */
const MAX_CONFIRM_CALLS = 12;

type Result = Either<ConfirmFailure, Acceptance>;

describe('confirmation', () => {
  it('appends one entry when the same plan is confirmed twice', async () => {
    const platform = createMemoryPlatform();
    await planStored(platform, createConfigurationHolder(), ADD_RECORDS, 'a');
    const first = await confirmPlan(platform, 'a', 'ana', OPTIONS);
    const second = await confirmPlan(platform, 'a', 'berta', OPTIONS);
    assert.deepEqual(second.extract(), first.extract());
    assert.equal(await readLoggedPlanId(platform, 2), undefined);
  });

  const faults = [CallFault.Refused, CallFault.LostBefore, CallFault.LostAfter];
  faults.forEach((fault) => {
    for (const isLasting of [false, true]) {
      it(`reports the true outcome with ${isLasting ? 'all calls from any step on' : 'one call at any step'} failing as ${fault}`, async () => {
        for (let step = 0; step < MAX_CONFIRM_CALLS; step += 1)
          await checkFaultAtStep(fault, step, isLasting);
      });
    }
  });

  it('accepts one of two plans under any interleaving of their confirmations and faults', async () => {
    const faultsArbitrary = fc.array(fc.constantFrom(...Object.values(CallFault)), {
      maxLength: 10,
    });
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), faultsArbitrary, async (scheduler, drawn) => {
        const platform = createMemoryPlatform();
        const holder = await createLoggedHolder(platform, 1);
        await planStored(platform, holder, buildChange(50), 'b');
        await planStored(platform, holder, buildChange(60), 'c');
        const remainingFaults = [...drawn];
        const faulty = wrapPlatform(platform, async () => {
          await scheduler.schedule(Promise.resolve());
          return remainingFaults.shift() ?? CallFault.None;
        });
        const racing = ['b', 'c'].map((id) => confirmPlan(faulty, id, id, OPTIONS));
        const results = await scheduler.waitFor(Promise.all(racing));
        await checkRaceOutcome(platform, results);
      }),
      PROPERTY_RUNS,
    );
  });

  const REFUSALS = [
    { name: 'a plan that was never stored', planId: 'none', kind: ConfirmFailureKind.PlanUnknown },
    {
      name: 'a plan whose version would leave a gap in the log',
      planId: 'gap',
      kind: ConfirmFailureKind.LogIncomplete,
    },
    {
      name: 'a plan whose version another plan has taken',
      planId: 'late',
      kind: ConfirmFailureKind.PlanStale,
    },
  ] as const;
  REFUSALS.forEach(({ name, planId, kind }) => {
    it(`refuses ${name} and writes nothing`, async () => {
      const platform = createMemoryPlatform();
      const elsewhere = await createLoggedHolder(createMemoryPlatform(), 3);
      const holder = await createLoggedHolder(platform, 1);
      await planStored(platform, elsewhere, buildChange(9), 'gap');
      await planStored(platform, holder, buildChange(9), 'late');
      await planStored(platform, holder, buildChange(8), 'early');
      await confirmPlan(platform, 'early', 'ana', OPTIONS);
      const result = await confirmPlan(platform, planId, 'ana', OPTIONS);
      assert.equal((result.extract() as ConfirmFailure).kind, kind);
      assert.equal(await readLoggedPlanId(platform, 2), 'early');
      assert.equal(await readLoggedPlanId(platform, 4), undefined);
    });
  });

  it('refuses a plan whose version was taken and trimmed while its write was delayed', async () => {
    const platform = createMemoryPlatform();
    const holder = await createLoggedHolder(platform, 2);
    await planStored(platform, holder, buildChange(99), 'held');
    let otherWrites: Promise<unknown> | undefined;
    const delayedPlatform = wrapPlatform(platform, async ({ operation }) => {
      if (operation !== 'createIfAbsent') return CallFault.None;
      otherWrites ??= writeAndTrim(platform);
      await otherWrites;
      return CallFault.None;
    });
    const result = await confirmPlan(delayedPlatform, 'held', 'ana', OPTIONS);
    assert.equal((result.extract() as ConfirmFailure).kind, ConfirmFailureKind.PlanStale);
    assert.equal(await readLoggedPlanId(platform, 3), undefined);
  });
});

/**
 * Injects the fault into one platform call of a confirmation, or into all from it on. Checks the
 * reported outcome against the log, then confirms again without faults.
 */
async function checkFaultAtStep(fault: CallFault, step: number, isLasting: boolean): Promise<void> {
  const platform = createMemoryPlatform();
  const holder = await createLoggedHolder(platform, 1);
  await planStored(platform, holder, buildChange(5), 'b');
  let calls = -1;
  const faulty = wrapPlatform(platform, () => {
    calls += 1;
    const isFaulty = isLasting ? calls >= step : calls === step;
    return isFaulty ? fault : CallFault.None;
  });
  const result = await confirmPlan(faulty, 'b', 'ana', OPTIONS);
  const logged = await readLoggedPlanId(platform, 2);
  const kind = result
    .swap()
    .map((failure) => failure.kind)
    .orDefault(ConfirmFailureKind.Unknown);
  if (result.isRight()) assert.equal(logged, 'b');
  else if (kind === ConfirmFailureKind.NotDone) assert.equal(logged, undefined);
  else assert.equal(kind, ConfirmFailureKind.Unknown);
  const confirmedAgain = await confirmPlan(platform, 'b', 'ana', OPTIONS);
  assert.ok(confirmedAgain.isRight());
  assert.equal(await readLoggedPlanId(platform, 2), 'b');
  assert.equal(await readLoggedPlanId(platform, 3), undefined);
}

/**
 * Checks that each known outcome agrees with the log, and that confirming again without faults
 * accepts exactly one plan and refuses the other as stale.
 */
async function checkRaceOutcome(platform: Platform, results: readonly Result[]): Promise<void> {
  const logged = await readLoggedPlanId(platform, 2);
  results.forEach((result, index) => {
    const planId = ['b', 'c'][index];
    const { kind } = result.swap().orDefault({ kind: ConfirmFailureKind.Unknown, message: '' });
    if (result.isRight()) assert.equal(logged, planId);
    else if (kind !== ConfirmFailureKind.Unknown) assert.notEqual(logged, planId);
  });
  const confirmedAgain = [
    await confirmPlan(platform, 'b', 'b', OPTIONS),
    await confirmPlan(platform, 'c', 'c', OPTIONS),
  ];
  const winners = confirmedAgain.filter((result) => result.isRight());
  assert.equal(winners.length, 1);
  const [loser] = confirmedAgain.flatMap((result) =>
    result.isLeft() ? [result.extract().kind] : [],
  );
  assert.equal(loser, ConfirmFailureKind.PlanStale);
  assert.equal(await readLoggedPlanId(platform, 3), undefined);
}

/** Writes eight versions of another log and checkpoints after each, which trims the oldest ones. */
async function writeAndTrim(platform: Platform): Promise<void> {
  const holder = await createLoggedHolder(createMemoryPlatform(), 0);
  const limits = { entriesPerGeneration: 1, generations: 2 };
  const writer = createCheckpointWriter(platform, holder, limits);
  const source = await createLoggedHolder(createMemoryPlatform(), 8);
  const entries = source.getEntriesAfter(0) ?? [];
  for (const entry of entries) {
    await platform.createIfAbsent(
      `log/${String(entry.version).padStart(12, '0')}`,
      new TextEncoder().encode(JSON.stringify(entry)),
    );
    holder.applyEntry(entry);
    await writer.write();
  }
}
