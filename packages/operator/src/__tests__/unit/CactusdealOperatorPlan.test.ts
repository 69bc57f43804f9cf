import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type ConfigurationHolder, createConfigurationHolder } from '@cactusdeal/configuration';
import { createMemoryPlatform } from '@cactusdeal/platform';
import type { Intent, Plan } from '@cactusdeal/schema';
import { planAndStore, type PlanContext, PlanFailureKind, planIntent } from '../../index.js';
import {
  acceptChange,
  ADD_RECORDS,
  buildChange,
  buildContext,
  buildRoute,
  buildService,
  buildWorker,
  createLoggedHolder,
} from '../CactusdealOperatorSamples.js';

const DRAIN: Intent = { type: 'drainWorker', worker: 'w1', service: 'records', reason: 'repair' };

interface RefusalCase {
  readonly name: string;
  readonly intent: unknown;
  readonly context?: Partial<PlanContext>;
  readonly kind: string;
}

const REFUSALS: readonly RefusalCase[] = [
  {
    name: 'an intent of an unknown type',
    intent: { type: 'destroy' },
    kind: PlanFailureKind.IntentInvalid,
  },
  {
    name: 'weights of an unknown service',
    intent: { type: 'setWeights', service: 'absent', weights: { west: 1 } },
    kind: PlanFailureKind.UnknownService,
  },
  {
    name: 'weights of a service with the name of an inherited property',
    intent: { type: 'setWeights', service: 'constructor', weights: { west: 1 } },
    kind: PlanFailureKind.UnknownService,
  },
  {
    name: 'weights that name an unknown data centre',
    intent: { type: 'setWeights', service: 'records', weights: { moon: 1 } },
    context: { dataCentres: ['west', 'east'] },
    kind: PlanFailureKind.UnknownDataCentre,
  },
  {
    name: 'weights that are 0 in every data centre',
    intent: { type: 'setWeights', service: 'records', weights: { west: 0, east: 0 } },
    context: { dataCentres: ['west', 'east'] },
    kind: PlanFailureKind.NoWeightLeft,
  },
  {
    name: 'weights that are in force already',
    intent: { type: 'setWeights', service: 'records', weights: { west: 1 } },
    kind: PlanFailureKind.NoChange,
  },
  { name: 'a drain of an unknown worker', intent: DRAIN, kind: PlanFailureKind.UnknownWorker },
  {
    name: 'a drain of a worker of another service',
    intent: DRAIN,
    context: { getWorkers: () => [buildWorker('w1', { services: ['photos'] })] },
    kind: PlanFailureKind.WorkerOfOtherService,
  },
  {
    name: 'a drain of the only ready worker',
    intent: DRAIN,
    context: { getWorkers: () => [buildWorker('w1'), buildWorker('w2', { state: 'starting' })] },
    kind: PlanFailureKind.CapacityLost,
  },
  {
    name: 'a drain that leaves another service of the worker without a ready worker',
    intent: DRAIN,
    context: {
      getWorkers: () => [buildWorker('w1', { services: ['records', 'photos'] }), buildWorker('w2')],
    },
    kind: PlanFailureKind.CapacityLost,
  },
  {
    name: 'a drain in a list of operations, by the same rules as an intent to drain',
    intent: {
      type: 'applyOperations',
      operations: [
        { type: 'setDrain', name: 'w1', drain: { service: 'records', reason: 'repair' } },
      ],
    },
    context: { getWorkers: () => [buildWorker('w1')] },
    kind: PlanFailureKind.CapacityLost,
  },
  {
    name: 'the end of a drain that does not exist',
    intent: { type: 'undrainWorker', worker: 'w1' },
    kind: PlanFailureKind.NotDrained,
  },
  {
    name: 'a removal of a service that a route leads to',
    intent: { type: 'applyOperations', operations: [{ type: 'removeService', name: 'records' }] },
    kind: PlanFailureKind.ServiceInUse,
  },
  {
    name: 'a removal of an unknown route',
    intent: { type: 'applyOperations', operations: [{ type: 'removeRoute', name: 'absent' }] },
    kind: PlanFailureKind.UnknownRoute,
  },
  {
    name: 'a route to an unknown service',
    intent: {
      type: 'applyOperations',
      operations: [
        { type: 'setRoute', name: 'dangling', route: buildRoute({ service: 'absent' }) },
      ],
    },
    kind: PlanFailureKind.UnknownService,
  },
  {
    name: 'two routes for the same calls',
    intent: {
      type: 'applyOperations',
      operations: [{ type: 'setRoute', name: 'again', route: buildRoute() }],
    },
    kind: PlanFailureKind.RuleBroken,
  },
  {
    name: "a plan above the platform's size limit for one value",
    intent: {
      type: 'applyOperations',
      operations: Array.from({ length: 6000 }, (_, index) => ({
        type: 'setService',
        name: `service-${index}`,
        service: buildService(),
      })),
    },
    kind: PlanFailureKind.PlanTooLarge,
  },
];

describe('plan', () => {
  REFUSALS.forEach(({ name, intent, context, kind }) => {
    it(`refuses ${name}`, async () => {
      const holder = await createLoggedHolder(createMemoryPlatform(), 1);
      const planned = planIntent(buildContext(holder, context), intent as Intent, 'ana', () => 0);
      assert.equal(planned.swap().unsafeCoerce().kind, kind);
    });
  });

  it('describes what changes and whom that affects', async () => {
    const holder = await createLoggedHolder(createMemoryPlatform(), 1);
    const intent: Intent = { type: 'setWeights', service: 'records', weights: { west: 5 } };
    const plan = planIntent(
      buildContext(holder),
      intent,
      'ana',
      () => 9,
      () => 'id',
    ).unsafeCoerce();
    assert.deepEqual(plan.effects, [
      {
        subject: 'service records',
        change: 'weights: {"west":1,"east":1} -> {"west":5,"east":1}',
        affects: [
          'route browse',
          'class browse',
          'tenant oviedo',
          'data centre west',
          'data centre east',
        ],
      },
    ]);
    assert.deepEqual(plan.warnings, ['service records has no ready worker known to this daemon']);
    const { version, baseVersion, planId, operator, acceptedAtMs } = plan.entry;
    assert.deepEqual(
      [version, baseVersion, planId, operator, acceptedAtMs],
      [2, 1, 'id', 'ana', 9],
    );
  });

  it('warns of a drain that leaves a data centre without a ready worker', async () => {
    const holder = await createLoggedHolder(createMemoryPlatform(), 1);
    const getWorkers = () => [buildWorker('w1'), buildWorker('w2', { dataCentre: 'east' })];
    const plan = planIntent(buildContext(holder, { getWorkers }), DRAIN, 'ana', () => 0);
    assert.deepEqual(plan.unsafeCoerce().warnings, [
      'service records would have no ready worker left in data centre west',
    ]);
  });

  it('builds on the version in force and takes the version above a rejected one', async () => {
    const platform = createMemoryPlatform();
    const holder = await createLoggedHolder(platform, 2);
    rejectNextVersion(holder);
    const entry = await acceptChange(platform, holder, buildChange(77)).catch(() => undefined);
    assert.equal(entry, undefined, 'the log lacks the rejected version');
    const plan = planIntent(buildContext(holder), buildChange(77), 'ana', () => 0).unsafeCoerce();
    assert.deepEqual([plan.entry.version, plan.entry.baseVersion], [4, 2]);
    assert.ok(holder.applyEntry(plan.entry).isRight());
  });

  it('reverts to the content of an older version under a new and higher one', async () => {
    const platform = createMemoryPlatform();
    const holder = await createLoggedHolder(platform, 6);
    const plan = await planRevert(platform, holder, 3);
    holder.applyEntry(plan.entry).unsafeCoerce();
    assert.equal(holder.getSnapshot().version, 7);
    assert.equal(holder.getSnapshot().services.records?.queueLimit, 3);
  });

  const REVERTS = [
    { toVersion: 6, kind: PlanFailureKind.NoChange },
    { toVersion: 7, kind: PlanFailureKind.UnknownVersion },
    { toVersion: 1.5, kind: PlanFailureKind.IntentInvalid },
  ];
  REVERTS.forEach(({ toVersion, kind }) => {
    it(`refuses a revert to version ${toVersion} with ${kind} when version 6 is in force`, async () => {
      const platform = createMemoryPlatform();
      const holder = await createLoggedHolder(platform, 6);
      const intent: Intent = { type: 'revert', toVersion };
      const planned = await planAndStore(platform, buildContext(holder), intent, 'ana', () => 0);
      assert.equal(planned.swap().unsafeCoerce().kind, kind);
    });
  });

  it('adds a service and its route in one plan to an empty configuration', () => {
    const context = buildContext(createConfigurationHolder());
    const plan = planIntent(context, ADD_RECORDS, 'ana', () => 0).unsafeCoerce();
    assert.equal(plan.entry.operations.length, 2);
  });
});

/** Makes the holder reject the next version, so that its head rises above the version in force. */
function rejectNextVersion(holder: ConfigurationHolder): void {
  holder.applyEntry({
    version: holder.getHeadVersion() + 1,
    baseVersion: 0,
    planId: 'bad',
    operations: [],
    hash: '0'.repeat(64),
    operator: 'ana',
    acceptedAtMs: 0,
    unreadable: 'marked unreadable by the test',
  });
}

async function planRevert(
  platform: ReturnType<typeof createMemoryPlatform>,
  holder: ConfigurationHolder,
  toVersion: number,
): Promise<Plan> {
  const intent: Intent = { type: 'revert', toVersion };
  const planned = await planAndStore(platform, buildContext(holder), intent, 'ana', () => 0);
  return planned.unsafeCoerce();
}
