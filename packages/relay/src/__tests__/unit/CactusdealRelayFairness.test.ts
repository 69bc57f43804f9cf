import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '@cactusdeal/shared';
import fc from 'fast-check';
import { type AdmissionRequest, createAdmission } from '../../CactusdealRelayAdmission.js';
import { listInFairOrder } from '../../CactusdealRelayFairOrder.js';
import { buildOrganisationTable } from '../../CactusdealRelayOrganisations.js';
import { createServiceTimes } from '../../CactusdealRelayServiceTimes.js';
import { buildOrganisation } from '../CactusdealRelayFixtures.js';

/** Slots and mean service time of an upstream that fewer calls than demanded reach. */
const SLOTS = 13;
const SERVICE_MS = 80;
const TARGET_MS = 400;
const DURATION_MS = 6_000;

/** Calls of one organisation that arrive at one upstream. */
interface Demand {
  readonly name: string;
  /** Calls per second of its quota; the weight. */
  readonly callsPerSecond: number;
  /** Fraction of the upstream's capacity. */
  readonly load: number;
}

interface Tally {
  sent: number;
  inTime: number;
}

/** Replays the demands on one upstream; returns the calls of each organisation, sent and answered in time. */
function runReplay(demands: readonly Demand[], isFair: boolean): ReadonlyMap<string, Tally> {
  const random = createSeededRandom(20_261_207);
  const times = createServiceTimes();
  times.record('kind', SERVICE_MS);
  const table = buildOrganisationTable(demands.map((demand) => buildOrganisation(demand)));
  const admission = createAdmission<AdmissionRequest>(times, undefined, {
    getShare: (name) => table?.getShare(name) ?? 1,
    recordReordered: () => {},
  });
  admission.setCapacity(SLOTS);
  const tallies = new Map(demands.map(({ name }) => [name, { sent: 0, inTime: 0 }]));
  const owners = new Map<AdmissionRequest, Tally>();
  let running: { readonly endAtMs: number; readonly call: AdmissionRequest }[] = [];
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += 1) {
    finishRuns(nowMs);
    demands.forEach((demand) => {
      if (random() < (demand.load * SLOTS) / SERVICE_MS) receive(demand, nowMs);
    });
  }
  return tallies;

  function receive({ name }: Demand, nowMs: number): void {
    const tally = tallies.get(name) as Tally;
    tally.sent += 1;
    const targetAtMs = nowMs + TARGET_MS;
    const call = {
      kind: 'kind',
      priority: 1,
      estimateCapMs: SERVICE_MS,
      targetAtMs,
      deadlineAtMs: targetAtMs + TARGET_MS,
      latestAnswerAtMs: targetAtMs,
      organisation: isFair ? name : undefined,
    };
    owners.set(call, tally);
    if (admission.admit(call, nowMs).type === 'start') start(call, nowMs);
  }

  function start(call: AdmissionRequest, nowMs: number): void {
    running.push({ endAtMs: nowMs + SERVICE_MS * (0.5 + random()), call });
  }

  function finishRuns(nowMs: number): void {
    const ended = running.filter(({ endAtMs }) => endAtMs <= nowMs);
    running = running.filter(({ endAtMs }) => endAtMs > nowMs);
    ended.forEach(({ call, endAtMs }) => {
      admission.release();
      if (endAtMs <= call.targetAtMs) (owners.get(call) as Tally).inTime += 1;
    });
    admission.evictLate(nowMs);
    for (;;) {
      const next = admission.takeNext(nowMs);
      if (next === undefined) return;
      start(next, nowMs);
    }
  }
}

function computeServed(tallies: Iterable<Tally>): number {
  const sum = { sent: 0, inTime: 0 };
  [...tallies].forEach(({ sent, inTime }) => {
    sum.sent += sent;
    sum.inTime += inTime;
  });
  return sum.inTime / sum.sent;
}

/** Organisations whose rates spread as widely as 5 to 385; all together demand `load`. */
function buildDemands(count: number, load: number): readonly Demand[] {
  const rates = Array.from({ length: count }, (_, index) => 5 + 380 * (index / (count - 1)) ** 3);
  const total = rates.reduce((sum, rate) => sum + rate, 0);
  return rates.map((callsPerSecond, index) => ({
    name: `o${index}`,
    callsPerSecond,
    load: (load * callsPerSecond) / total,
  }));
}

const floods: readonly [name: string, flooder: number][] = [
  ['the largest organisation', 77],
  ['one of medium size', 50],
];

describe('one organisation that sends seven times its usual load', () => {
  floods.forEach(([name, flooder]) => {
    it(`leaves the others nearly what they have without it: ${name}`, () => {
      const usual = buildDemands(78, 1);
      const flooded = usual.map((demand, index) =>
        index === flooder ? { ...demand, load: demand.load * 7 } : demand,
      );
      const before = computeServed(runReplay(usual, true).values());
      const tallies = new Map(runReplay(flooded, true));
      const overall = computeServed(tallies.values());
      tallies.delete(`o${flooder}`);
      const others = computeServed(tallies.values());
      assert.ok(others >= 0.9 * before, `served ${others}, before ${before}`);
      tallies.forEach((tally, other) => {
        const least = (tally.sent * overall) / 4;
        assert.ok(tally.inTime >= least, `${other}: ${JSON.stringify(tally)} of ${overall}`);
      });
    });
  });

  it('crowds out the others without fairness', () => {
    const flooded = buildDemands(78, 1).map((demand, index) =>
      index === 77 ? { ...demand, load: demand.load * 7 } : demand,
    );
    const tallies = new Map(runReplay(flooded, false));
    tallies.delete('o77');
    assert.ok(computeServed(tallies.values()) < 0.8);
  });

  it('counts at each upstream for itself', () => {
    const [flooder, other] = [
      { name: 'flooder', callsPerSecond: 10, load: 3 },
      { name: 'other', callsPerSecond: 10, load: 0.4 },
    ] as const;
    const flooded = runReplay([flooder, other], true);
    const calm = runReplay([{ ...flooder, load: 0.4 }, other], true);
    assert.ok(computeServed([flooded.get('other') as Tally]) > 0.95);
    assert.ok(computeServed(calm.values()) > 0.95, 'at another service it is not held back');
  });
});

describe('a single active organisation', () => {
  it('uses all slots, as calls without an organisation do', () => {
    const demands = buildDemands(78, 0).map((demand, index) =>
      index === 0 ? { ...demand, load: 1.5 } : demand,
    );
    assert.deepEqual(runReplay(demands, true), runReplay(demands, false));
  });
});

describe('order of a queue', () => {
  const organisations = fc.constantFrom('a', 'b', 'c', undefined);
  const calls = fc
    .array(fc.record({ priority: fc.nat(2), targetAtMs: fc.nat(9), organisation: organisations }))
    .map((list) =>
      list.sort(
        (left, right) => left.priority - right.priority || left.targetAtMs - right.targetAtMs,
      ),
    );
  const computeBand = (name: string, queuedMs: number): number =>
    name === 'a' ? 3 : Math.floor(queuedMs / 100);

  it('keeps priorities, all calls and the order within an organisation', () => {
    fc.assert(
      fc.property(calls, (list) => {
        const order = listInFairOrder(list, computeBand, () => SERVICE_MS);
        assert.deepEqual(new Set(order), new Set(list));
        order.slice(1).forEach((call, index) => {
          assert.ok(call.priority >= (order[index]?.priority ?? 0));
        });
        ['a', 'b', 'c', undefined].forEach((name) => {
          const pick = (from: typeof order): unknown =>
            from.filter(({ organisation }) => organisation === name);
          assert.deepEqual(pick(order), pick(list));
        });
      }),
      { seed: 7 },
    );
  });

  it('is that of the targets without organisations', () => {
    fc.assert(
      fc.property(calls, (list) => {
        const plain = list.map((call) => ({ ...call, organisation: undefined }));
        assert.equal(
          listInFairOrder(plain, computeBand, () => SERVICE_MS),
          plain,
        );
      }),
      { seed: 7 },
    );
  });
});
