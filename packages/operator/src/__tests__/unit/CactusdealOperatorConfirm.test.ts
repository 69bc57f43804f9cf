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
  createLogged,
  planStored,
  readLogged,
} from '../CactusdealOperatorSamples.js';
import { CallFault, wrapPlatform } from '../CactusdealOperatorTestPlatform.js';

const OPTIONS = { clock: () => 7, random: () => 0 };
const RUNS = { seed: 20261204, numRuns: 300 };
/** More than the calls of one confirmation. */
const MAX_CALLS = 12;

type Result = Either<ConfirmFailure, Acceptance>;

describe('confirmation', () => {
  it('appends once, whether it is asked once or twice', async () => {
    const platform = createMemoryPlatform();
    await planStored(platform, createConfigurationHolder(), ADD_RECORDS, 'a');
    const first = await confirmPlan(platform, 'a', 'ana', OPTIONS);
    const second = await confirmPlan(platform, 'a', 'berta', OPTIONS);
    assert.deepEqual(second.extract(), first.extract());
    assert.equal(await readLogged(platform, 2), undefined);
  });

  const faults = [CallFault.Refused, CallFault.LostBefore, CallFault.LostAfter];
  faults.forEach((fault) => {
    for (const isLasting of [false, true]) {
      it(`says the truth with ${isLasting ? 'all calls from' : 'one call'} ${fault}, at any step`, async () => {
        for (let step = 0; step < MAX_CALLS; step += 1) await checkStep(fault, step, isLasting);
      });
    }
  });

  it('has one winner under any interleaving of two operators with lost answers', async () => {
    const faultsArbitrary = fc.array(fc.constantFrom(...Object.values(CallFault)), {
      maxLength: 10,
    });
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), faultsArbitrary, async (scheduler, drawn) => {
        const platform = createMemoryPlatform();
        const holder = await createLogged(platform, 1);
        await planStored(platform, holder, buildChange(50), 'b');
        await planStored(platform, holder, buildChange(60), 'c');
        const left = [...drawn];
        const faulty = wrapPlatform(platform, async () => {
          await scheduler.schedule(Promise.resolve());
          return left.shift() ?? CallFault.None;
        });
        const racing = ['b', 'c'].map((id) => confirmPlan(faulty, id, id, OPTIONS));
        const results = await scheduler.waitFor(Promise.all(racing));
        await checkRace(platform, results);
      }),
      RUNS,
    );
  });

  const REFUSALS = [
    { name: 'a plan that was never stored', planId: 'none', kind: ConfirmFailureKind.PlanUnknown },
    {
      name: 'a plan whose base has a hole behind it',
      planId: 'gap',
      kind: ConfirmFailureKind.LogIncomplete,
    },
    { name: 'a plan that lost its version', planId: 'late', kind: ConfirmFailureKind.PlanStale },
  ] as const;
  REFUSALS.forEach(({ name, planId, kind }) => {
    it(`refuses ${name} and writes nothing`, async () => {
      const platform = createMemoryPlatform();
      const elsewhere = await createLogged(createMemoryPlatform(), 3);
      const holder = await createLogged(platform, 1);
      await planStored(platform, elsewhere, buildChange(9), 'gap');
      await planStored(platform, holder, buildChange(9), 'late');
      await planStored(platform, holder, buildChange(8), 'early');
      await confirmPlan(platform, 'early', 'ana', OPTIONS);
      const result = await confirmPlan(platform, planId, 'ana', OPTIONS);
      assert.equal((result.extract() as ConfirmFailure).kind, kind);
      assert.equal(await readLogged(platform, 2), 'early');
      assert.equal(await readLogged(platform, 4), undefined);
    });
  });

  it('refuses a plan whose version was taken and trimmed while it was held up', async () => {
    const platform = createMemoryPlatform();
    const holder = await createLogged(platform, 2);
    await planStored(platform, holder, buildChange(99), 'held');
    let heldUp: Promise<unknown> | undefined;
    const slow = wrapPlatform(platform, async ({ operation }) => {
      if (operation !== 'createIfAbsent') return CallFault.None;
      heldUp ??= writeAndTrim(platform);
      await heldUp;
      return CallFault.None;
    });
    const result = await confirmPlan(slow, 'held', 'ana', OPTIONS);
    assert.equal((result.extract() as ConfirmFailure).kind, ConfirmFailureKind.PlanStale);
    assert.equal(await readLogged(platform, 3), undefined);
  });
});

/** Lets one step, or all from it on, fail; then confirms again without faults. */
async function checkStep(fault: CallFault, step: number, isLasting: boolean): Promise<void> {
  const platform = createMemoryPlatform();
  const holder = await createLogged(platform, 1);
  await planStored(platform, holder, buildChange(5), 'b');
  let calls = -1;
  const faulty = wrapPlatform(platform, () => {
    calls += 1;
    const isMet = isLasting ? calls >= step : calls === step;
    return isMet ? fault : CallFault.None;
  });
  const result = await confirmPlan(faulty, 'b', 'ana', OPTIONS);
  const logged = await readLogged(platform, 2);
  const kind = result
    .swap()
    .map((failure) => failure.kind)
    .orDefault(ConfirmFailureKind.Unknown);
  if (result.isRight()) assert.equal(logged, 'b');
  else if (kind === ConfirmFailureKind.NotDone) assert.equal(logged, undefined);
  else assert.equal(kind, ConfirmFailureKind.Unknown);
  const again = await confirmPlan(platform, 'b', 'ana', OPTIONS);
  assert.ok(again.isRight());
  assert.equal(await readLogged(platform, 2), 'b');
  assert.equal(await readLogged(platform, 3), undefined);
}

/** At most one is accepted, the loser knows, and confirming again settles what was unknown. */
async function checkRace(platform: Platform, results: readonly Result[]): Promise<void> {
  const logged = await readLogged(platform, 2);
  results.forEach((result, index) => {
    const planId = ['b', 'c'][index];
    const { kind } = result.swap().orDefault({ kind: ConfirmFailureKind.Unknown, message: '' });
    if (result.isRight()) assert.equal(logged, planId);
    else if (kind !== ConfirmFailureKind.Unknown) assert.notEqual(logged, planId);
  });
  const settled = [
    await confirmPlan(platform, 'b', 'b', OPTIONS),
    await confirmPlan(platform, 'c', 'c', OPTIONS),
  ];
  const winners = settled.filter((result) => result.isRight());
  assert.equal(winners.length, 1);
  const [loser] = settled.flatMap((result) => (result.isLeft() ? [result.extract().kind] : []));
  assert.equal(loser, ConfirmFailureKind.PlanStale);
  assert.equal(await readLogged(platform, 3), undefined);
}

async function writeAndTrim(platform: Platform): Promise<void> {
  const holder = await createLogged(createMemoryPlatform(), 0);
  const limits = { entriesPerGeneration: 1, generations: 2 };
  const writer = createCheckpointWriter(platform, holder, limits);
  const other = await createLogged(createMemoryPlatform(), 8);
  const entries = other.getEntriesAfter(0) ?? [];
  for (const entry of entries) {
    await platform.createIfAbsent(
      `log/${String(entry.version).padStart(12, '0')}`,
      new TextEncoder().encode(JSON.stringify(entry)),
    );
    holder.applyEntry(entry);
    await writer.write();
  }
}
