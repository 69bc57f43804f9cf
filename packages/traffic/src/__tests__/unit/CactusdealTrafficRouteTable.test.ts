import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { Route, Snapshot } from '@cactusdeal/schema';
import { buildRouteTable, getRouteTable } from '../../CactusdealTrafficRouteTable.js';
import { buildRoute, buildSnapshot } from '../CactusdealTrafficFixtures.js';

const SEED = 20261204;
const METHODS = ['*', 'GET', 'POST'] as const;

const segment = fc.constantFrom('a', 'b', 'ab', 'c');
const path = fc.array(segment, { maxLength: 4 }).map((parts) => `/${parts.join('/')}`);
const routes = fc.array(
  fc.record({
    service: fc.constantFrom('one', 'two'),
    method: fc.constantFrom(...METHODS),
    pathPrefix: path,
  }),
  { maxLength: 12 },
);

function buildTestSnapshot(list: readonly Partial<Route>[]): Snapshot {
  const service = { tenant: 'oviedo', weights: {}, queueLimit: 1 };
  return buildSnapshot({
    services: { one: service, two: service },
    routes: Object.fromEntries(list.map((route, index) => [`r${index}`, buildRoute(route)])),
  });
}

/** The routing rule as a reference implementation without an index. */
function findRouteByDefinition(
  snapshot: Snapshot,
  service: string | undefined,
  method: string,
  target: string,
) {
  const covers = (prefix: string): boolean =>
    prefix === '/' || target === prefix || target.startsWith(`${prefix}/`);
  return Object.entries(snapshot.routes)
    .filter(([, route]) => service === undefined || route.service === service)
    .filter(([, route]) => route.method === '*' || route.method === method)
    .filter(([, route]) => covers(route.pathPrefix))
    .sort(
      ([leftName, left], [rightName, right]) =>
        right.pathPrefix.length - left.pathPrefix.length ||
        Number(left.method === '*') - Number(right.method === '*') ||
        (leftName < rightName ? -1 : 1),
    )[0]?.[0];
}

describe('the route table', () => {
  it('finds the same route as the reference implementation', () => {
    fc.assert(
      fc.property(
        routes,
        fc.option(fc.constantFrom('one', 'two', 'three'), { nil: undefined }),
        fc.constantFrom('GET', 'POST', 'PUT'),
        path,
        (list, service, method, target) => {
          const snapshot = buildTestSnapshot(list);
          const found = buildRouteTable(snapshot).match(service, method, `${target}?q=/a/b`)?.name;
          assert.equal(found, findRouteByDefinition(snapshot, service, method, target));
        },
      ),
      { seed: SEED, numRuns: 1000 },
    );
  });

  it('is built once per snapshot object', () => {
    const snapshot = buildTestSnapshot([]);
    assert.equal(getRouteTable(snapshot), getRouteTable(snapshot));
    assert.notEqual(getRouteTable(snapshot), getRouteTable({ ...snapshot }));
  });
});
