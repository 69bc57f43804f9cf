import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { OrganisationRule } from '../../CactusdealRelayTypes.js';
import {
  countMost,
  createFleet,
  type Demand,
  type Fleet,
  type FleetDaemon,
} from '../CactusdealRelayQuotaFleet.js';

const SIZES = { este: 24, norte: 23, oeste: 24 };
const WINDOW_MS = 5_000;
/** Links and coordinators are found by then. */
const SETTLED_MS = 2_000;
const SURGE_MS = 6_000;
const SURGE_END_MS = 11_000;
const END_MS = 14_000;
const ORDINARY = 0.625;
const SURGE = 4.7;

function buildRule(callsPerSecond: number, name = `rate-${callsPerSecond}`): OrganisationRule {
  return { name, keys: [], priority: 0, callsPerSecond, burst: callsPerSecond };
}

function buildSurge(rule: OrganisationRule, pick?: Demand['pick']): Demand {
  const callsPerSecond = (nowMs: number): number =>
    rule.callsPerSecond * (nowMs > SURGE_MS && nowMs < SURGE_END_MS ? SURGE : ORDINARY);
  return { rule, callsPerSecond, ...(pick === undefined ? {} : { pick }) };
}

const buildSteady = (rule: OrganisationRule, factor = ORDINARY): Demand => ({
  rule,
  callsPerSecond: () => rule.callsPerSecond * factor,
});

/** What the quota allows in a window, with its tolerance. */
const countAllowed = ({ callsPerSecond, burst }: OrganisationRule): number =>
  ((callsPerSecond * WINDOW_MS) / 1_000 + burst) * 1.1 + 20;

function countRefused(fleet: Fleet, { name }: OrganisationRule, fromMs = SETTLED_MS): number {
  return fleet.getOutcome(name).refusedAtMs.filter((atMs) => atMs > fromMs).length;
}

function assertWithinQuota(fleet: Fleet, rule: OrganisationRule, fromMs = 0): void {
  const most = countMost(fleet.getOutcome(rule.name).admittedAtMs, WINDOW_MS, fromMs);
  assert.ok(most <= countAllowed(rule), `${rule.name}: ${most} of ${countAllowed(rule)}`);
}

const listOf = (fleet: Fleet, dataCentre: string): readonly FleetDaemon[] =>
  fleet.daemons.filter(({ member }) => member.dataCentre === dataCentre);

function stop(stopped: FleetDaemon | undefined, isFrozen = false): void {
  const daemon = stopped as FleetDaemon;
  daemon.isRunning = false;
  daemon.isFrozen = isFrozen;
}

const pickFirst = (daemons: readonly FleetDaemon[]): FleetDaemon => daemons[5] as FleetDaemon;

describe('calls within the quota of their organisation', () => {
  const rates = [5, 20, 100, 385];
  rates.forEach((rate) => {
    it(`are not refused at a rate of ${rate} beside a surge of another organisation`, () => {
      const rule = buildRule(rate);
      const other = buildRule(150, 'other');
      const fleet = createFleet(SIZES, [buildSteady(rule), buildSurge(other)]);
      fleet.run(END_MS);
      assert.equal(countRefused(fleet, rule), 0);
    });

    it(`are not refused when the whole burst of ${rate} comes at once`, () => {
      const rule = buildRule(rate);
      const burstMs = 6_000;
      const burst = (nowMs: number): number => (nowMs === burstMs ? rate * 200 : 0);
      [undefined, pickFirst].forEach((pick) => {
        const demand = { rule, callsPerSecond: (nowMs: number) => rate * 0.6 + burst(nowMs) };
        const fleet = createFleet(SIZES, [{ ...demand, ...(pick === undefined ? {} : { pick }) }]);
        fleet.run(END_MS);
        assert.equal(countRefused(fleet, rule), 0);
      });
    });
  });

  it('take few messages: reports, and a state a second', () => {
    const demands = Array.from({ length: 78 }, (_, index) =>
      buildSteady(buildRule(5 + index, `organisation-${index}`)),
    );
    const fleet = createFleet(SIZES, demands);
    fleet.run(SETTLED_MS);
    const before = fleet.messages;
    const seconds = 5;
    fleet.run(SETTLED_MS + seconds * 1_000);
    const expected = seconds * (71 * (4 + 1) + 3 * 2 * 4);
    // Early reports and summaries add little.
    assert.ok(fleet.messages - before < expected * 1.02, `${fleet.messages - before}`);
  });
});

describe('an organisation far beyond its quota', () => {
  [5, 20, 50, 150, 385].forEach((rate) => {
    [1, 2, 3].forEach((seed) => {
      it(`stays within the limit at a rate of ${rate}, seed ${seed}`, () => {
        const rule = buildRule(rate);
        const fleet = createFleet(SIZES, [buildSurge(rule)], seed);
        fleet.run(END_MS);
        assertWithinQuota(fleet, rule);
      });
    });
  });

  it('gets its rate while it is throttled', () => {
    const rule = buildRule(150);
    const fleet = createFleet(SIZES, [buildSteady(rule, SURGE)]);
    fleet.run(END_MS);
    const { admittedAtMs } = fleet.getOutcome(rule.name);
    const perSecond = admittedAtMs.filter((atMs) => atMs > 4_000).length / 10;
    assert.ok(perSecond > 0.95 * 150 && perSecond < 1.05 * 150, `${perSecond}`);
  });
});

interface FailureCase {
  readonly name: string;
  /** Brings the failure about at `atMs`. */
  readonly fail: (fleet: Fleet) => void;
  readonly atMs?: number;
  readonly repair?: (fleet: Fleet) => void;
  readonly repairAtMs?: number;
  readonly pick?: Demand['pick'];
  /** Most calls of the other organisation that may be refused; by default 1 % of them. */
  readonly mostRefused?: number;
}

const MOST_REFUSED = 4;

const failures: readonly FailureCase[] = [
  {
    name: 'a data centre is cut off as the surge begins',
    fail: closeNorte,
    repair: openAll,
  },
  {
    name: 'a data centre is cut off while the organisation is throttled',
    fail: closeNorte,
    atMs: 8_000,
    repair: openAll,
  },
  {
    name: 'the host that gets all calls is cut off',
    fail: (cut) => {
      const fleet = cut;
      const host = pickFirst(fleet.daemons).member.id;
      fleet.isCut = (left, right) => left.id === host || right.id === host;
    },
    atMs: SURGE_MS - 2_000,
    repair: openAll,
    pick: pickFirst,
  },
  {
    name: 'all calls move to one host within a second',
    fail: () => {},
    pick: (daemons, nowMs) =>
      daemons[nowMs < SURGE_MS ? Math.floor(nowMs / 5) % daemons.length : 40] as FleetDaemon,
  },
  {
    name: 'a coordinator ends as the surge begins',
    fail: (fleet) => stop(listOf(fleet, 'este')[0]),
  },
  {
    name: 'all coordinators end while the organisation is throttled',
    fail: (fleet) => ['este', 'norte', 'oeste'].forEach((name) => stop(listOf(fleet, name)[0])),
    atMs: 8_000,
  },
  {
    name: 'a coordinator stands still before the surge',
    fail: (fleet) => stop(listOf(fleet, 'este')[0], true),
    atMs: SURGE_MS - 2_000,
    repair: startAgain,
  },
  {
    name: 'a coordinator stands still while the organisation is throttled',
    fail: (fleet) => stop(listOf(fleet, 'este')[0], true),
    atMs: 8_000,
    repair: startAgain,
  },
  {
    name: 'all daemons restart at once while the organisation is throttled',
    fail: (fleet) => fleet.daemons.forEach((daemon) => stop(daemon)),
    atMs: 9_000,
    repair: (fleet) =>
      fleet.daemons.forEach((stopped) => {
        const daemon = stopped;
        fleet.restart(daemon);
        daemon.isRunning = true;
      }),
    repairAtMs: 10_000,
    // Entries are isolated for 0.8 s, in which each of them admits one call.
    mostRefused: 15,
  },
];

function closeNorte(cut: Fleet): void {
  const fleet = cut;
  fleet.isCut = (left, right) => (left.dataCentre === 'norte') !== (right.dataCentre === 'norte');
}

function startAgain(fleet: Fleet): void {
  const [daemon] = listOf(fleet, 'este') as [FleetDaemon];
  daemon.isRunning = true;
}

function openAll(cut: Fleet): void {
  const fleet = cut;
  fleet.isCut = () => false;
}

describe('an organisation far beyond its quota stays within the limit, and others are served, when', () => {
  failures.forEach(
    ({
      name,
      fail,
      atMs = SURGE_MS,
      repair,
      repairAtMs = 12_000,
      pick,
      mostRefused = MOST_REFUSED,
    }) => {
      [20, 385].forEach((rate) => {
        it(`${name}, at a rate of ${rate}`, () => {
          const rule = buildRule(rate);
          const other = buildRule(60, 'other');
          const fleet = createFleet(SIZES, [buildSurge(rule, pick), buildSteady(other)]);
          fleet.run(atMs);
          fail(fleet);
          fleet.run(repairAtMs);
          repair?.(fleet);
          fleet.run(END_MS);
          assertWithinQuota(fleet, rule);
          const refused = countRefused(fleet, other);
          assert.ok(refused <= mostRefused, `${refused} of the other's refused`);
        });
      });
    },
  );
});

describe('a lower rate', () => {
  it('holds on a data centre whose links are lost before it learns it', () => {
    const rule = buildRule(150);
    const lower = { ...rule, callsPerSecond: 30, burst: 30 };
    const fleet = createFleet(SIZES, [buildSteady(rule)]);
    fleet.run(6_000);
    closeNorte(fleet);
    fleet.daemons.forEach((changed) => {
      const daemon = changed;
      daemon.rules = [lower];
    });
    fleet.run(END_MS);
    assertWithinQuota(fleet, lower, 8_500);
  });
});
