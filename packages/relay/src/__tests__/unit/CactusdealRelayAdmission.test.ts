import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom } from '@cactusdeal/shared';
import { type AdmissionRequest, createAdmission } from '../../CactusdealRelayAdmission.js';
import { createServiceTimes } from '../../CactusdealRelayServiceTimes.js';

const SERVICE_MS = 100;

function buildAdmission(capacity: number) {
  const times = createServiceTimes();
  times.record('kind', SERVICE_MS);
  const admission = createAdmission<AdmissionRequest>(times);
  admission.setCapacity(capacity);
  return admission;
}

function buildRequest(changes: Partial<AdmissionRequest> = {}): AdmissionRequest {
  const request = {
    kind: 'kind',
    priority: 1,
    estimateCapMs: SERVICE_MS,
    targetAtMs: 500,
    deadlineAtMs: 1_000,
    ...changes,
  };
  return { latestAnswerAtMs: request.targetAtMs, ...request };
}

interface Case {
  readonly name: string;
  readonly capacity: number;
  /** Calls that were admitted before, in order. */
  readonly before: readonly Partial<AdmissionRequest>[];
  readonly call: Partial<AdmissionRequest>;
  readonly expected: string;
}

const cases: readonly Case[] = [
  { name: 'starts a call if a slot is free', capacity: 1, before: [], call: {}, expected: 'start' },
  {
    name: 'refuses a call if there are no slots',
    capacity: 0,
    before: [],
    call: {},
    expected: 'refuse',
  },
  {
    name: 'starts a call that is past its target if a slot is free',
    capacity: 1,
    before: [],
    call: { targetAtMs: -1 },
    expected: 'start',
  },
  {
    name: 'refuses a call that would end after its deadline',
    capacity: 1,
    before: [],
    call: { deadlineAtMs: 10 },
    expected: 'refuse',
  },
  {
    name: 'queues a call that can be answered in time',
    capacity: 1,
    before: [{}],
    call: {},
    expected: 'wait',
  },
  {
    name: 'refuses a call that would be answered late',
    capacity: 1,
    before: [{}, {}, {}, {}],
    call: {},
    expected: 'refuse',
  },
  {
    name: 'queues a nested call whose limit is later than its target',
    capacity: 1,
    before: [{}, {}, {}, {}],
    call: { latestAnswerAtMs: 900 },
    expected: 'wait',
  },
  {
    name: 'queues an urgent call where a less urgent one would be refused',
    capacity: 1,
    before: [{}, {}, {}, {}],
    call: { priority: 0 },
    expected: 'wait',
  },
  {
    name: 'queues a short call of a kind without samples behind a long one',
    capacity: 1,
    before: [{}],
    call: { kind: 'short', estimateCapMs: 20, targetAtMs: 130 },
    expected: 'wait',
  },
];

describe('admission on arrival', () => {
  cases.forEach(({ name, capacity, before, call, expected }) => {
    it(name, () => {
      const admission = buildAdmission(capacity);
      before.forEach((earlier) => admission.admit(buildRequest(earlier), 0));
      assert.equal(admission.admit(buildRequest(call), 0).type, expected);
    });
  });
});

const orders: readonly [
  name: string,
  waiting: readonly Partial<AdmissionRequest>[],
  first: number,
][] = [
  ['the most urgent call', [{}, { priority: 0 }], 1],
  ['the call with the earliest target', [{ targetAtMs: 450 }, { targetAtMs: 400 }], 1],
  ['the first call that can still meet its target', [{ priority: 0, targetAtMs: 260 }, {}], 1],
];

describe('queue of an upstream', () => {
  orders.forEach(([name, waiting, first]) => {
    it(`starts ${name} next`, () => {
      const admission = buildAdmission(1);
      admission.admit(buildRequest(), 0);
      const calls = waiting.map((changes) => buildRequest(changes));
      calls.forEach((call) => admission.admit(call, 0));
      admission.release();
      assert.equal(admission.takeNext(250), calls[first]);
    });
  });

  it('does not start a call that was removed', () => {
    const admission = buildAdmission(1);
    admission.admit(buildRequest(), 0);
    const call = buildRequest();
    admission.admit(call, 0);
    assert.equal(admission.remove(call), true);
    admission.release();
    assert.equal(admission.takeNext(0), undefined);
  });

  it('evicts a call that can no longer be answered in time', () => {
    const admission = buildAdmission(1);
    admission.admit(buildRequest(), 0);
    const call = buildRequest();
    admission.admit(call, 0);
    assert.deepEqual(admission.evictLate(300), []);
    assert.deepEqual(admission.evictLate(400), [call]);
  });

  it('evicts a call at once that later, more urgent calls delay too long', () => {
    const admission = buildAdmission(1);
    admission.admit(buildRequest(), 0);
    const calls = [buildRequest(), buildRequest(), buildRequest()];
    assert.deepEqual(
      calls.map((call) => admission.admit(call, 0).type),
      ['wait', 'wait', 'wait'],
    );
    admission.admit(buildRequest({ priority: 0 }), 0);
    admission.admit(buildRequest({ priority: 0 }), 0);
    assert.deepEqual(admission.evictLate(0), [calls[2]]);
  });
});

/**
 * Simulates ten seconds of calls at `load` times the capacity of one upstream; returns those
 * answered in time.
 */
function runFlood(
  load: number,
  slots: number,
  sampleServiceMs: () => number,
): { inTime: number; capacity: number } {
  const admission = buildAdmission(slots);
  const capacity = (slots * 10_000) / SERVICE_MS;
  const gapMs = SERVICE_MS / slots / load;
  let running: { endAtMs: number; call: AdmissionRequest }[] = [];
  let inTime = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs += gapMs) {
    finishRuns(nowMs);
    const call = buildRequest({ targetAtMs: nowMs + 300, deadlineAtMs: nowMs + 600 });
    if (admission.admit(call, nowMs).type === 'start') run(call, nowMs);
  }
  return { inTime, capacity };

  function run(call: AdmissionRequest, nowMs: number): void {
    running.push({ endAtMs: nowMs + sampleServiceMs(), call });
    running.sort((left, right) => left.endAtMs - right.endAtMs);
  }

  function finishRuns(nowMs: number): void {
    for (;;) {
      const [first] = running;
      if (first === undefined || first.endAtMs > nowMs) return;
      running = running.slice(1);
      admission.release();
      if (first.endAtMs <= first.call.targetAtMs) inTime += 1;
      admission.evictLate(first.endAtMs);
      const next = admission.takeNext(first.endAtMs);
      if (next !== undefined) run(next, first.endAtMs);
    }
  }
}

/**
 * Draws service times from a log-normal distribution with mean `SERVICE_MS`; `spread` is the
 * standard deviation of the logarithm.
 */
function createSampler(spread: number): () => number {
  const random = createSeededRandom(20_261_204);
  return () => {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return SERVICE_MS * Math.exp(spread * normal - (spread * spread) / 2);
  };
}

describe('overload of an upstream', () => {
  [1, 1.5, 2.5, 5].forEach((load) => {
    it(`answers nearly its capacity in time at a load of ${load}`, () => {
      const { inTime, capacity } = runFlood(load, 4, () => SERVICE_MS);
      assert.ok(inTime >= 0.95 * capacity, `${inTime} of ${capacity}`);
    });
    it(`answers most of its capacity in time at a load of ${load} with varying service times`, () => {
      const { inTime, capacity } = runFlood(load, 18, createSampler(0.3));
      assert.ok(inTime >= 0.9 * capacity, `${inTime} of ${capacity}`);
    });
  });
});

/** A stream of calls of one priority. */
interface Lane {
  readonly priority: number;
  readonly serviceMs: number;
  readonly targetMs: number;
  /** Load as a fraction of the upstream's capacity. */
  readonly load: number;
}

/**
 * Simulates a steady stream of short, urgent calls at `urgentLoad` next to an overload of less
 * urgent ones; counts the latter.
 */
function runOvertaking(urgentLoad: number): { admitted: number; evicted: number; inTime: number } {
  const slots = 10;
  const lanes: readonly Lane[] = [
    { priority: 0, serviceMs: 20, targetMs: 200, load: urgentLoad },
    { priority: 1, serviceMs: 100, targetMs: 600, load: 2 },
  ];
  const times = createServiceTimes();
  lanes.forEach(({ priority, serviceMs }) => times.record(String(priority), serviceMs));
  const admission = createAdmission<AdmissionRequest>(times);
  admission.setCapacity(slots);
  const dueAtMs = [0, 0];
  let running: { endAtMs: number; call: AdmissionRequest }[] = [];
  const result = { admitted: 0, evicted: 0, inTime: 0 };
  for (let nowMs = 0; nowMs < 10_000; nowMs += 1) {
    lanes.forEach((lane, index) => {
      while ((dueAtMs[index] ?? 0) <= nowMs) {
        dueAtMs[index] = (dueAtMs[index] ?? 0) + lane.serviceMs / slots / lane.load;
        admitCall(lane, nowMs);
      }
    });
    finishRuns(nowMs);
    result.evicted += admission.evictLate(nowMs).length;
  }
  return result;

  function admitCall(lane: Lane, nowMs: number): void {
    const call = buildRequest({
      kind: String(lane.priority),
      priority: lane.priority,
      targetAtMs: nowMs + lane.targetMs,
      deadlineAtMs: nowMs + lane.targetMs * 2,
    });
    const { type } = admission.admit(call, nowMs);
    if (type === 'start') run(call, nowMs);
    if (type !== 'refuse' && lane.priority === 1) result.admitted += 1;
  }

  function run(call: AdmissionRequest, nowMs: number): void {
    running.push({ endAtMs: nowMs + times.estimate(call.kind, 0), call });
  }

  function finishRuns(nowMs: number): void {
    const ended = running.filter(({ endAtMs }) => endAtMs <= nowMs);
    running = running.filter(({ endAtMs }) => endAtMs > nowMs);
    ended.forEach(({ call }) => {
      admission.release();
      if (call.priority === 1 && nowMs <= call.targetAtMs) result.inTime += 1;
    });
    for (;;) {
      const next = admission.takeNext(nowMs);
      if (next === undefined) return;
      run(next, nowMs);
    }
  }
}

describe('overload next to a stream of more urgent calls', () => {
  [0.2, 0.4, 0.6].forEach((urgentLoad) => {
    it(`evicts few admitted calls when urgent ones use ${urgentLoad} of the capacity`, () => {
      const { admitted, evicted, inTime } = runOvertaking(urgentLoad);
      assert.ok(evicted <= 0.02 * admitted, `${evicted} of ${admitted} evicted`);
      const possible = 10_000 * (10 / 100) * (1 - urgentLoad);
      assert.ok(inTime >= 0.9 * possible, `${inTime} of ${possible} in time`);
    });
  });
});
