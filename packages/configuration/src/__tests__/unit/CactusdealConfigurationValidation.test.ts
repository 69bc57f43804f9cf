import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Operation, Snapshot } from '@cactusdeal/schema';
import fc from 'fast-check';
import {
  applyOperations,
  createEmptySnapshot,
  ViolationKind,
  findAffectedServices,
  validateSnapshot,
} from '../../index.js';
import { buildRoute, buildService, operationArbitrary } from '../CactusdealConfigurationSamples.js';

interface ValidationCase {
  readonly name: string;
  readonly changes: Partial<Snapshot>;
  /** Kind and subject of each fault. */
  readonly faults: readonly (readonly [string, string])[];
}

const CASES: readonly ValidationCase[] = [
  { name: 'accepts routes to services that exist', changes: {}, faults: [] },
  {
    name: 'lists every route to an absent service',
    changes: { services: {} },
    faults: [
      [ViolationKind.RouteToAbsentService, 'route approve'],
      [ViolationKind.RouteToAbsentService, 'route browse'],
    ],
  },
  {
    name: 'takes no inherited name for a service',
    changes: { routes: { odd: buildRoute({ service: 'constructor' }) } },
    faults: [[ViolationKind.RouteToAbsentService, 'route odd']],
  },
  {
    name: 'refuses a drain of an absent service',
    changes: { drains: { 'worker-1': { service: 'absent', reason: '' } } },
    faults: [[ViolationKind.DrainOfAbsentService, 'drain worker-1']],
  },
  {
    name: 'refuses shares of classes above one',
    changes: {
      routes: {
        approve: buildRoute({ class: 'approve', share: 0.7, pathPrefix: '/a' }),
        browse: buildRoute({ class: 'browse', share: 0.31 }),
      },
    },
    faults: [[ViolationKind.SharesAboveOne, 'service records']],
  },
  {
    name: 'counts the share of a class once',
    changes: {
      routes: {
        one: buildRoute({ share: 0.7, pathPrefix: '/a' }),
        two: buildRoute({ share: 0.7, pathPrefix: '/b' }),
      },
    },
    faults: [],
  },
  {
    name: 'takes shares that add up to one',
    changes: {
      routes: Object.fromEntries(
        Array.from({ length: 10 }, (_, index) => [
          `r${index}`,
          buildRoute({ class: `c${index}`, share: 0.1, pathPrefix: `/${index}` }),
        ]),
      ),
    },
    faults: [],
  },
  {
    name: 'refuses two routes that match the same calls',
    changes: { routes: { one: buildRoute(), two: buildRoute() } },
    faults: [[ViolationKind.AmbiguousRoutes, 'route two']],
  },
  {
    name: 'refuses a name that every object answers for',
    changes: { drains: { constructor: { service: 'records', reason: '' } } },
    faults: [[ViolationKind.ReservedName, 'drain constructor']],
  },
];

describe('validation', () => {
  CASES.forEach(({ name, changes, faults }) => {
    it(name, () => {
      const found = validateSnapshot({ ...buildBase(), ...changes });
      const listed = found.map(({ kind, subject }) => [kind, subject]);
      assert.deepEqual(listed.sort(), faults.map((fault) => [...fault]).sort());
    });
  });
});

describe('validation of what operations affect', () => {
  it('finds what a check of the whole finds, on a base without faults', () => {
    fc.assert(
      fc.property(fc.array(operationArbitrary), fc.array(operationArbitrary), (early, late) => {
        const base = applyGood(early);
        applyOperations(base, late).ifRight((result) => {
          const scope = findAffectedServices(late);
          assert.deepEqual(validateSnapshot(result, scope), validateSnapshot(result));
        });
      }),
      { seed: 20261204, numRuns: 1000 },
    );
  });
});

/** Applies each operation whose result breaks no rule. */
function applyGood(operations: readonly Operation[]): Snapshot {
  return operations.reduce((snapshot, operation) => {
    const next = applyOperations(snapshot, [operation]).orDefault(snapshot);
    return validateSnapshot(next).length === 0 ? next : snapshot;
  }, createEmptySnapshot());
}

function buildBase(): Snapshot {
  return {
    version: 1,
    services: { records: buildService() },
    routes: {
      browse: buildRoute(),
      approve: buildRoute({ method: 'POST', class: 'approve' }),
    },
    drains: {},
  };
}
