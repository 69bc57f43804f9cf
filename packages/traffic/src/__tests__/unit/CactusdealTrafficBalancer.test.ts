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
const NO_GATE_TRIED: ReadonlySet<string> = new Set();

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
  /** Expected fractions of the calls from west and from east that are served in west. */
  readonly westShareFromWest: number;
  readonly westShareFromEast: number;
}

const SHARE_CASES: readonly ShareCase[] = [
  {
    name: 'even weights keep every call in its data centre',
    weights: { west: 1, east: 1 },
    westShareFromWest: 1,
    westShareFromEast: 0,
  },
  {
    name: 'a data centre of weight 0 serves no calls',
    weights: { west: 1, east: 0 },
    westShareFromWest: 1,
    westShareFromEast: 1,
  },
  {
    name: 'weights of two to one move only the excess calls to the other data centre',
    weights: { west: 2, east: 1 },
    westShareFromWest: 1,
    westShareFromEast: 1 / 3,
  },
];

describe('weights of data centres', () => {
  for (const shareCase of SHARE_CASES) {
    it(shareCase.name, () => {
      const shares = Object.entries(shareCase.weights).map(([dataCentre, weight]) => ({
        dataCentre,
        weight,
      }));
      const random = createSeededRandom(SEED);
      for (const [local, expected] of [
        ['west', shareCase.westShareFromWest],
        ['east', shareCase.westShareFromEast],
      ] as const) {
        const count = 6000;
        let west = 0;
        for (let call = 0; call < count; call += 1) {
          if (chooseDataCentres(shares, local, random)[0] === 'west') west += 1;
        }
        assert.ok(
          Math.abs(west / count - expected) < 0.03,
          `calls from ${local}: a fraction of ${west / count} was served in west`,
        );
      }
    });
  }
});

describe('choice among gates', () => {
  it('crosses to another data centre only when every local gate refuses', () => {
    const { balancer } = createTestBalancer(buildGates(2), buildGates(2, 'east'));
    const route = findTestRoute();
    const first = balancer.choose(route, NO_GATE_TRIED);
    assert.equal(first?.gate.dataCentre, 'west');
    first.finish(GateObservation.Busy, 1);
    const second = balancer.choose(route, NO_GATE_TRIED);
    assert.equal(second?.gate.dataCentre, 'west');
    assert.notEqual(second.gate.memberId, first.gate.memberId);
    second.finish(GateObservation.Busy, 1);
    assert.equal(balancer.choose(route, NO_GATE_TRIED)?.gate.dataCentre, 'east');
  });

  it('a gate that is busy for one class stays available to others', () => {
    const { balancer } = createTestBalancer(buildGates(1), buildGates(1, 'east'));
    balancer.choose(findTestRoute(), NO_GATE_TRIED)?.finish(GateObservation.Busy, 1);
    const lookups = findTestRoute();
    const other = { ...lookups, route: { ...lookups.route, class: 'approvals' } };
    assert.equal(balancer.choose(other, NO_GATE_TRIED)?.gate.dataCentre, 'west');
    assert.equal(balancer.choose(lookups, NO_GATE_TRIED)?.gate.dataCentre, 'east');
  });

  it('never chooses a data centre of weight 0', () => {
    const { balancer } = createTestBalancer(buildGates(2), buildGates(2, 'east'));
    const route = findTestRoute({ west: 0 });
    for (let call = 0; call < 200; call += 1) {
      assert.equal(balancer.choose(route, NO_GATE_TRIED)?.gate.dataCentre, 'east');
    }
    assert.equal(balancer.choose(findTestRoute({ west: 0, east: 0 }), NO_GATE_TRIED), undefined);
  });

  it('sends a slow gate among four fewer calls, but more than none', () => {
    const { balancer, time } = createTestBalancer(buildGates(4));
    const counts = new Map<string, number>();
    for (let call = 0; call < 4000; call += 1) {
      const choice = balancer.choose(findTestRoute(), NO_GATE_TRIED);
      assert.ok(choice);
      const { memberId } = choice.gate;
      counts.set(memberId, (counts.get(memberId) ?? 0) + 1);
      time.nowMs += 10;
      choice.finish(GateObservation.Answered, memberId === 'west-0' ? 200 : 10);
    }
    const slow = counts.get('west-0') ?? 0;
    assert.ok(slow > 0 && slow < 400, `the slow gate got ${slow} of 4000 calls`);
  });

  it('sends few calls at once to a gate that has just become ready', () => {
    const gates = buildGates(2);
    const { balancer, time } = createTestBalancer(gates);
    balancer.choose(findTestRoute(), NO_GATE_TRIED)?.finish(GateObservation.Answered, 10);
    time.nowMs += 60_000;
    gates[1] = { ...(gates[1] as Gate), readyAtMs: 1 };
    const choices = Array.from({ length: 8 }, () =>
      balancer.choose(findTestRoute(), NO_GATE_TRIED),
    );
    const fresh = choices.filter((choice) => choice?.gate.memberId === 'west-1').length;
    assert.ok(fresh <= 1, `the gate that became ready got ${fresh} of 8 concurrent calls`);
  });

  it('ejects at most half of the gates for any sequence of failures', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 9 }),
        fc.array(fc.tuple(fc.constantFrom(...Object.values(GateObservation)), fc.nat(400)), {
          maxLength: 400,
        }),
        (count, observations) => {
          const gates = buildGates(count);
          const { balancer, time } = createTestBalancer(gates);
          for (const [observation, advanceMs] of observations) {
            balancer.choose(findTestRoute(), NO_GATE_TRIED)?.finish(observation, 1);
            time.nowMs += advanceMs;
            const ejected = gates.filter((gate) => balancer.isEjected(gate.memberId)).length;
            assert.ok(ejected <= count / 2, `${ejected} of ${count} gates are ejected`);
          }
        },
      ),
      { seed: SEED, numRuns: 200 },
    );
  });

  it('finds an untried gate as long as there is one in a data centre of weight above 0', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 5 }),
        fc.array(fc.constantFrom(...Object.values(GateObservation)), { maxLength: 60 }),
        (count, observations) => {
          const { balancer } = createTestBalancer(buildGates(count), buildGates(count, 'east'));
          for (const observation of observations)
            balancer.choose(findTestRoute(), NO_GATE_TRIED)?.finish(observation, 1);
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
