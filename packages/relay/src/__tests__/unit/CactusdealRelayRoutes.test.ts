import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { buildRouteTable, createServicePicker } from '../../CactusdealRelayRoutes.js';
import { buildConfiguration, buildRule } from '../CactusdealRelayFixtures.js';

const table = buildRouteTable(
  buildConfiguration([
    buildRule({ name: 'root', host: 'a.example', prefix: '/' }),
    buildRule({ name: 'deep', host: 'a.example', prefix: '/one/two/' }),
    buildRule({ name: 'short', host: 'a.example', prefix: '/one/' }),
    buildRule({ name: 'other', host: 'b.example', prefix: '/one/' }),
  ]),
);

const matches: readonly [host: string, target: string, expected: string | undefined][] = [
  ['a.example', '/one/two/three', 'deep'],
  ['a.example', '/one/two/', 'deep'],
  ['a.example', '/one/two', 'short'],
  ['a.example', '/one/twofold', 'short'],
  ['a.example', '/', 'root'],
  ['a.example', '/x?y=/one/two/', 'root'],
  ['A.Example:8080', '/one/', 'short'],
  ['b.example', '/', undefined],
  ['b.example', '/one/x', 'other'],
  ['c.example', '/one/', undefined],
];

describe('route table', () => {
  matches.forEach(([host, target, expected]) => {
    it(`maps ${host}${target} to ${expected ?? 'no route'}`, () => {
      assert.equal(table.match(host, target)?.rule.name, expected);
    });
  });
});

describe('route table of the next version', () => {
  it('keeps the turns of a rule that is the same, and no others', () => {
    const destinations = ['a', 'b'].map((service) => ({ service, weight: 1 }));
    const [kept, changed] = ['/x/', '/y/'].map((prefix) => buildRule({ prefix, destinations }));
    assert.ok(kept !== undefined && changed !== undefined);
    const first = buildRouteTable(buildConfiguration([kept, changed]));
    ['/x/', '/y/'].forEach((path) =>
      assert.equal(first.match(kept.host, path)?.pickService(), 'a'),
    );
    const next = buildRouteTable(
      buildConfiguration([kept, { ...changed, timeoutMs: 1 }], 2),
      first,
    );
    assert.equal(next.match(kept.host, '/x/')?.pickService(), 'b');
    assert.equal(next.match(kept.host, '/y/')?.pickService(), 'a');
    assert.equal(next.match(kept.host, '/y/')?.rule.timeoutMs, 1);
  });
});

const splits: readonly [weights: readonly number[], calls: number, expected: readonly number[]][] =
  [
    [[1], 10, [10]],
    [[90, 10], 100, [90, 10]],
    [[3, 2], 5, [3, 2]],
    [[1, 0], 7, [7, 0]],
    [[1, 1, 2], 8, [2, 2, 4]],
  ];

const kinds: readonly [rule: Parameters<typeof buildRule>[0], expected: string][] = [
  [{}, '1/500/repeatable'],
  [{ idempotent: false }, '1/500/once'],
  [{ hasLargeAnswers: true }, '1/500/repeatable/large'],
  [{ hasLargeBodies: true, idempotent: false }, '1/500/once/large-body'],
];

describe('kind of the calls of a route', () => {
  kinds.forEach(([rule, expected]) => {
    it(`is ${expected}`, () => {
      const { match } = buildRouteTable(buildConfiguration([buildRule(rule)]));
      assert.equal(match('a.example', '/')?.kind, expected);
    });
  });
});

describe('weights of a route', () => {
  splits.forEach(([weights, calls, expected]) => {
    it(`splits ${calls} calls by ${weights.join(':')}`, () => {
      const parts = weights.map((weight, index) => ({ service: String(index), weight }));
      const pick = createServicePicker(parts);
      const counts = weights.map(() => 0);
      for (let call = 0; call < calls; call += 1) {
        const index = Number(pick());
        counts[index] = (counts[index] ?? 0) + 1;
      }
      assert.deepEqual(counts, expected);
    });
  });
});
