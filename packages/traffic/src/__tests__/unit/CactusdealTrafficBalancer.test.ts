import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createSeededRandom } from '@cactusdeal/shared';
import { createBalancer } from '../../CactusdealTrafficBalancer.js';
import { GateObservation } from '../../CactusdealTrafficGateState.js';
import { buildRouteTable, type CompiledRoute } from '../../CactusdealTrafficRouteTable.js';
import type { Gate } from '../../CactusdealTrafficTypes.js';
import { chooseDataCentres } from '../../CactusdealTrafficWeights.js';
import { buildSnapshot, SERVICE } from '../CactusdealTrafficFixtures.js';

const SEED = 20261204;
const NONE: ReadonlySet<string> = new Set();

function buildGates(count: number, dataCentre = 'west'): Gate[] {
  return Array.from({ length: count }, (_, index) => ({
    memberId: `${dataCentre}-${index}`,
    worker: `worker-${dataCentre}-${index}`,
    dataCentre,
    address: '127.0.0.1:1',
    slots: 4,
    readyAtMs: 0,
  }));
}

function findTestRoute(weights: Record<string, number> = {}): CompiledRoute {
  const services = { [SERVICE]: { tenant: 'oviedo', weights, queueLimit: 10 } };
  const table = buildRouteTable(buildSnapshot({ services }));
  return table.match(SERVICE, 'GET', '/records') as CompiledRoute;
}

function createTestBalancer(local: Gate[], remote: Gate[] = []) {
  const time = { nowMs: 100_000 };
  const balancer = createBalancer({
    directory: { findLocal: () => local, findRemote: () => remote },
    dataCentre: 'west',
    clock: () => time.nowMs,
    random: createSeededRandom(SEED),
  });
  return { balancer, time };
}

interface ShareCase {
  readonly name: string;
  readonly weights: Record<string, number>;
  /** Expected part of the calls of a west caller and of an east caller that go to the west. */
  readonly fromWest: number;
  readonly fromEast: number;
}

const SHARES: readonly ShareCase[] = [
  {
    name: 'even weights keep calls local',
    weights: { west: 1, east: 1 },
    fromWest: 1,
    fromEast: 0,
  },
  { name: 'weight 0 sends all away', weights: { west: 1, east: 0 }, fromWest: 1, fromEast: 1 },
  {
    name: 'two to one crosses no more than it must',
    weights: { west: 2, east: 1 },
    fromWest: 1,
    fromEast: 1 / 3,
  },
];

describe('weights of data centres', () => {
  for (const example of SHARES) {
    it(example.name, () => {
      const shares = Object.entries(example.weights).map(([dataCentre, weight]) => ({
        dataCentre,
        weight,
      }));
      const random = createSeededRandom(SEED);
      for (const [local, expected] of [
        ['west', example.fromWest],
        ['east', example.fromEast],
      ] as const) {
        const count = 6000;
        let west = 0;
        for (let call = 0; call < count; call += 1) {
          if (chooseDataCentres(shares, local, random)[0] === 'west') west += 1;
        }
        assert.ok(Math.abs(west / count - expected) < 0.03, `${local}: ${west / count}`);
      }
    });
  }
});

describe('choice among gates', () => {
  it('crosses to another data centre only when every local gate refuses', () => {
    const { balancer } = createTestBalancer(buildGates(2), buildGates(2, 'east'));
    const route = findTestRoute();
    const first = balancer.choose(route, NONE);
    assert.equal(first?.gate.dataCentre, 'west');
    first.finish(GateObservation.Busy, 1);
    const second = balancer.choose(route, NONE);
    assert.equal(second?.gate.dataCentre, 'west');
    assert.notEqual(second.gate.memberId, first.gate.memberId);
    second.finish(GateObservation.Busy, 1);
    assert.equal(balancer.choose(route, NONE)?.gate.dataCentre, 'east');
  });

  it('a gate busy for one class is open to the others', () => {
    const { balancer } = createTestBalancer(buildGates(1), buildGates(1, 'east'));
    balancer.choose(findTestRoute(), NONE)?.finish(GateObservation.Busy, 1);
    const lookups = findTestRoute();
    const other = { ...lookups, route: { ...lookups.route, class: 'approvals' } };
    assert.equal(balancer.choose(other, NONE)?.gate.dataCentre, 'west');
    assert.equal(balancer.choose(lookups, NONE)?.gate.dataCentre, 'east');
  });

  it('never chooses a data centre of weight 0', () => {
    const { balancer } = createTestBalancer(buildGates(2), buildGates(2, 'east'));
    const route = findTestRoute({ west: 0 });
    for (let call = 0; call < 200; call += 1) {
      assert.equal(balancer.choose(route, NONE)?.gate.dataCentre, 'east');
    }
    assert.equal(balancer.choose(findTestRoute({ west: 0, east: 0 }), NONE), undefined);
  });

  it('sends the slow one of four gates the fewest calls, and still some', () => {
    const { balancer, time } = createTestBalancer(buildGates(4));
    const counts = new Map<string, number>();
    for (let call = 0; call < 4000; call += 1) {
      const choice = balancer.choose(findTestRoute(), NONE);
      assert.ok(choice);
      const { memberId } = choice.gate;
      counts.set(memberId, (counts.get(memberId) ?? 0) + 1);
      time.nowMs += 10;
      choice.finish(GateObservation.Answered, memberId === 'west-0' ? 200 : 10);
    }
    const slow = counts.get('west-0') ?? 0;
    assert.ok(slow > 0 && slow < 400, `slow gate got ${slow}`);
  });

  it('starts a fresh gate slowly', () => {
    const gates = buildGates(2);
    const { balancer, time } = createTestBalancer(gates);
    balancer.choose(findTestRoute(), NONE)?.finish(GateObservation.Answered, 10);
    time.nowMs += 60_000;
    gates[1] = { ...(gates[1] as Gate), readyAtMs: 1 };
    const open = Array.from({ length: 8 }, () => balancer.choose(findTestRoute(), NONE));
    const fresh = open.filter((choice) => choice?.gate.memberId === 'west-1').length;
    assert.ok(fresh <= 1, `fresh gate got ${fresh} of 8 at once`);
  });

  it('ejects at most half of the gates, whatever fails', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 9 }),
        fc.array(fc.tuple(fc.constantFrom(...Object.values(GateObservation)), fc.nat(400)), {
          maxLength: 400,
        }),
        (count, signs) => {
          const gates = buildGates(count);
          const { balancer, time } = createTestBalancer(gates);
          for (const [sign, advanceMs] of signs) {
            balancer.choose(findTestRoute(), NONE)?.finish(sign, 1);
            time.nowMs += advanceMs;
            const ejected = gates.filter((gate) => balancer.isEjected(gate.memberId)).length;
            assert.ok(ejected <= count / 2, `${ejected} of ${count}`);
          }
        },
      ),
      { seed: SEED, numRuns: 200 },
    );
  });

  it('always finds an untried gate while there is one of weight above 0', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 5 }),
        fc.array(fc.constantFrom(...Object.values(GateObservation)), { maxLength: 60 }),
        (count, signs) => {
          const { balancer } = createTestBalancer(buildGates(count), buildGates(count, 'east'));
          for (const sign of signs) balancer.choose(findTestRoute(), NONE)?.finish(sign, 1);
          const tried = new Set<string>();
          for (let attempt = 0; attempt < count * 2; attempt += 1) {
            const choice = balancer.choose(findTestRoute(), tried);
            assert.ok(choice && !tried.has(choice.gate.memberId));
            tried.add(choice.gate.memberId);
          }
          assert.equal(balancer.choose(findTestRoute(), tried), undefined);
        },
      ),
      { seed: SEED, numRuns: 200 },
    );
  });
});
