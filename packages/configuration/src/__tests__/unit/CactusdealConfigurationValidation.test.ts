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
  /** Kind and subject of each violation. */
  readonly violations: readonly (readonly [string, string])[];
}

const CASES: readonly ValidationCase[] = [
  { name: 'accepts routes to services that exist', changes: {}, violations: [] },
  {
    name: 'lists every route to an absent service',
    changes: { services: {} },
    violations: [
      [ViolationKind.RouteToAbsentService, 'route approve'],
      [ViolationKind.RouteToAbsentService, 'route browse'],
    ],
  },
  {
    name: 'does not mistake an inherited property for a service',
    changes: { routes: { inherited: buildRoute({ service: 'constructor' }) } },
    violations: [[ViolationKind.RouteToAbsentService, 'route inherited']],
  },
  {
    name: 'refuses a drain of an absent service',
    changes: { drains: { 'worker-1': { service: 'absent', reason: '' } } },
    violations: [[ViolationKind.DrainOfAbsentService, 'drain worker-1']],
  },
  {
    name: 'refuses shares of classes that add up to more than 1',
    changes: {
      routes: {
        approve: buildRoute({ class: 'approve', share: 0.7, pathPrefix: '/a' }),
        browse: buildRoute({ class: 'browse', share: 0.31 }),
      },
    },
    violations: [[ViolationKind.SharesAboveOne, 'service records']],
  },
  {
    name: 'counts the share of a class once for all its routes',
    changes: {
      routes: {
        one: buildRoute({ share: 0.7, pathPrefix: '/a' }),
        two: buildRoute({ share: 0.7, pathPrefix: '/b' }),
      },
    },
    violations: [],
  },
  {
    name: 'accepts ten shares of 0.1, which add up to 1 despite rounding',
    changes: {
      routes: Object.fromEntries(
        Array.from({ length: 10 }, (_, index) => [
          `r${index}`,
          buildRoute({ class: `c${index}`, share: 0.1, pathPrefix: `/${index}` }),
        ]),
      ),
    },
    violations: [],
  },
  {
    name: 'refuses two routes that match the same calls',
    changes: { routes: { one: buildRoute(), two: buildRoute() } },
    violations: [[ViolationKind.AmbiguousRoutes, 'route two']],
  },
  {
    name: 'refuses the name of a property that every object inherits',
    changes: { drains: { constructor: { service: 'records', reason: '' } } },
    violations: [[ViolationKind.ReservedName, 'drain constructor']],
  },
];

describe('validation', () => {
  CASES.forEach(({ name, changes, violations: faults }) => {
    it(name, () => {
      const found = validateSnapshot({ ...buildBase(), ...changes });
      const listed = found.map(({ kind, subject }) => [kind, subject]);
      assert.deepEqual(listed.sort(), faults.map((fault) => [...fault]).sort());
    });
  });
});

describe('validation of the affected services', () => {
  it('finds the same violations as a full validation, on a valid base', () => {
    fc.assert(
      fc.property(fc.array(operationArbitrary), fc.array(operationArbitrary), (early, late) => {
        const base = applyValidOperations(early);
        applyOperations(base, late).ifRight((result) => {
          const scope = findAffectedServices(late);
          assert.deepEqual(validateSnapshot(result, scope), validateSnapshot(result));
        });
      }),
      { seed: 20261204, numRuns: 1000 },
    );
  });
});

/** Applies the operations to an empty snapshot, leaving out each whose result would be invalid. */
function applyValidOperations(operations: readonly Operation[]): Snapshot {
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
