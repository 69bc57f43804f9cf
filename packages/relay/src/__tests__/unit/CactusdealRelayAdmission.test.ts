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
  /** Calls that came before, in order. */
  readonly before: readonly Partial<AdmissionRequest>[];
  readonly call: Partial<AdmissionRequest>;
  readonly expected: string;
}

const cases: readonly Case[] = [
  { name: 'starts on a free slot', capacity: 1, before: [], call: {}, expected: 'start' },
  { name: 'refuses without slots', capacity: 0, before: [], call: {}, expected: 'refuse' },
  {
    name: 'starts late work on a free slot',
    capacity: 1,
    before: [],
    call: { targetAtMs: -1 },
    expected: 'start',
  },
  {
    name: 'refuses what would end after its deadline',
    capacity: 1,
    before: [],
    call: { deadlineAtMs: 10 },
    expected: 'refuse',
  },
  { name: 'lets wait what is in time', capacity: 1, before: [{}], call: {}, expected: 'wait' },
  {
    name: 'refuses at once what would be late',
    capacity: 1,
    before: [{}, {}, {}, {}],
    call: {},
    expected: 'refuse',
  },
  {
    name: 'lets wait what others wait for until its deadline',
    capacity: 1,
    before: [{}, {}, {}, {}],
    call: { latestAnswerAtMs: 900 },
    expected: 'wait',
  },
  {
    name: 'lets urgent work wait where other work is refused',
    capacity: 1,
    before: [{}, {}, {}, {}],
    call: { priority: 0 },
    expected: 'wait',
  },
  {
    name: 'lets short work of a kind that it never saw wait behind long work',
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
  ['the most urgent', [{}, { priority: 0 }], 1],
  ['the earliest target', [{ targetAtMs: 450 }, { targetAtMs: 400 }], 1],
  ['what is still in time', [{ priority: 0, targetAtMs: 260 }, {}], 1],
];

describe('next call for a slot', () => {
  orders.forEach(([name, waiting, first]) => {
    it(`is ${name}`, () => {
      const admission = buildAdmission(1);
      admission.admit(buildRequest(), 0);
      const calls = waiting.map((changes) => buildRequest(changes));
      calls.forEach((call) => admission.admit(call, 0));
      admission.release();
      assert.equal(admission.takeNext(250), calls[first]);
    });
  });

  it('leaves out what was removed', () => {
    const admission = buildAdmission(1);
    admission.admit(buildRequest(), 0);
    const call = buildRequest();
    admission.admit(call, 0);
    assert.equal(admission.remove(call), true);
    admission.release();
    assert.equal(admission.takeNext(0), undefined);
  });

  it('gives back what cannot be expected in time any more', () => {
    const admission = buildAdmission(1);
    admission.admit(buildRequest(), 0);
    const call = buildRequest();
    admission.admit(call, 0);
    assert.deepEqual(admission.evictLate(300), []);
    assert.deepEqual(admission.evictLate(400), [call]);
  });

  it('gives back at once what later, more urgent work has overtaken', () => {
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

/** A flood at `load` times capacity for ten seconds, replayed against one upstream. */
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

/** Draws times whose logarithm is spread by `spread` around that of the mean. */
function createSampler(spread: number): () => number {
  const random = createSeededRandom(20_261_204);
  return () => {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return SERVICE_MS * Math.exp(spread * normal - (spread * spread) / 2);
  };
}

describe('flood at an upstream', () => {
  [1, 1.5, 2.5, 5].forEach((load) => {
    it(`answers nearly what it can in time at ${load} times its capacity`, () => {
      const { inTime, capacity } = runFlood(load, 4, () => SERVICE_MS);
      assert.ok(inTime >= 0.95 * capacity, `${inTime} of ${capacity}`);
    });
    it(`answers most in time at ${load} times its capacity when calls take unlike long`, () => {
      const { inTime, capacity } = runFlood(load, 18, createSampler(0.3));
      assert.ok(inTime >= 0.9 * capacity, `${inTime} of ${capacity}`);
    });
  });
});

interface Lane {
  readonly priority: number;
  readonly serviceMs: number;
  readonly targetMs: number;
  /** Part of the upstream's time that its calls ask for. */
  readonly load: number;
}

/** A steady stream of short, urgent work takes `urgentLoad` of the time; other work floods in. */
function runOvertaking(urgentLoad: number): { letIn: number; overtaken: number; inTime: number } {
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
  const result = { letIn: 0, overtaken: 0, inTime: 0 };
  for (let nowMs = 0; nowMs < 10_000; nowMs += 1) {
    lanes.forEach((lane, index) => {
      while ((dueAtMs[index] ?? 0) <= nowMs) {
        dueAtMs[index] = (dueAtMs[index] ?? 0) + lane.serviceMs / slots / lane.load;
        admitCall(lane, nowMs);
      }
    });
    finishRuns(nowMs);
    result.overtaken += admission.evictLate(nowMs).length;
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
    if (type !== 'refuse' && lane.priority === 1) result.letIn += 1;
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

describe('flood beside a stream of more urgent work', () => {
  [0.2, 0.4, 0.6].forEach((urgentLoad) => {
    it(`keeps what it promised when ${urgentLoad} of the time is taken`, () => {
      const { letIn, overtaken, inTime } = runOvertaking(urgentLoad);
      assert.ok(overtaken <= 0.02 * letIn, `${overtaken} of ${letIn} overtaken`);
      const possible = 10_000 * (10 / 100) * (1 - urgentLoad);
      assert.ok(inTime >= 0.9 * possible, `${inTime} of ${possible} in time`);
    });
  });
});
