import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Either } from 'purify-ts';
import { createGateQueue, type AdmissionRequest, type Refusal, type Slot } from '../../index.js';
import { runSimulation } from '../CactusdealTrafficSimulation.js';

interface Arrival {
  readonly name: string;
  readonly request: Partial<AdmissionRequest>;
}

const baseRequest: Omit<AdmissionRequest, 'signal'> = {
  className: 'records',
  rank: 'normal',
  share: 0,
  worth: 1,
  deadlineAtMs: 1_000,
};

/** Holds the only slot while the arrivals queue up, then releases each granted slot at once. */
async function collectOrder(arrivals: readonly Arrival[], queueLimit: number): Promise<string[]> {
  const queue = createGateQueue({ slots: 1, getQueueLimit: () => queueLimit, clock: () => 0 });
  const seen: string[] = [];
  const { signal } = new AbortController();
  const first = await queue.admit({ ...baseRequest, className: 'first', signal });
  const release = (result: Either<Refusal, Slot>): void => {
    result.ifRight((slot) => slot.release());
  };
  const rest = arrivals.map(async ({ name, request }) => {
    const result = await queue.admit({ ...baseRequest, signal, ...request });
    const outcome = result.caseOf({
      Left: (refusal) => `${name}:${refusal.kind}:${refusal.outcome}`,
      Right: () => name,
    });
    seen.push(outcome);
    release(result);
  });
  release(first);
  await Promise.all(rest);
  assert.deepEqual(queue.getGauges(), { slots: 1, inUse: 0, queued: 0 });
  queue.close();
  return seen;
}

const aborted = new AbortController();
aborted.abort();

const cases = [
  {
    name: 'serves by rank',
    arrivals: [
      { name: 'low', request: { rank: 'low' } },
      { name: 'critical', request: { rank: 'critical' } },
      { name: 'high', request: { rank: 'high' } },
    ],
    order: ['critical', 'high', 'low'],
  },
  {
    name: 'serves by earliest deadline within a rank',
    arrivals: [
      { name: 'late', request: { deadlineAtMs: 900 } },
      { name: 'early', request: { deadlineAtMs: 500 } },
    ],
    order: ['early', 'late'],
  },
  {
    name: 'serves a class below its share before a more urgent one',
    arrivals: [
      { name: 'critical', request: { rank: 'critical', className: 'orders' } },
      { name: 'photograph', request: { rank: 'low', className: 'photographs', share: 1 } },
    ],
    order: ['photograph', 'critical'],
  },
  {
    name: 'sheds the lowest worth from a full queue',
    queueLimit: 1,
    arrivals: [
      { name: 'low-worth', request: { worth: 1 } },
      { name: 'high-worth', request: { worth: 9 } },
    ],
    order: ['low-worth:Shed:not-run', 'high-worth'],
  },
  {
    name: 'refuses a new call that has the lowest worth',
    queueLimit: 1,
    arrivals: [
      { name: 'high-worth', request: { worth: 9 } },
      { name: 'low-worth', request: { worth: 1 } },
    ],
    order: ['low-worth:QueueFull:not-run', 'high-worth'],
  },
  {
    name: 'refuses a passed deadline',
    arrivals: [{ name: 'expired', request: { deadlineAtMs: 0 } }],
    order: ['expired:DeadlineUnmeetable:not-run'],
  },
  {
    name: 'refuses a cancelled call',
    arrivals: [{ name: 'cancelled', request: { signal: aborted.signal } }],
    order: ['cancelled:Cancelled:not-run'],
  },
] as const;

describe('createGateQueue', () => {
  cases.forEach(({ name, arrivals, order, ...more }) => {
    it(name, async () => {
      const queueLimit = 'queueLimit' in more ? more.queueLimit : 10;
      assert.deepEqual(await collectOrder(arrivals, queueLimit), order);
    });
  });
});

const slowCall = {
  className: 'records',
  rank: 'normal',
  share: 0,
  worth: 1,
  atMs: 0,
  serviceMs: 2_000,
} as const;

const estimateCases = [
  {
    name: 'runs a call on an uncontended slot, however slow its class was before',
    slots: 2,
    calls: [
      { ...slowCall, timeoutMs: 5_000 },
      { ...slowCall, timeoutMs: 5_000, atMs: 3_000, serviceMs: 1_000 },
      { ...slowCall, timeoutMs: 500, atMs: 3_100, serviceMs: 10 },
    ],
  },
  {
    name: 'admits a call that has half of its time left, however slow its class was before',
    slots: 1,
    calls: [
      { ...slowCall, timeoutMs: 400 },
      { ...slowCall, timeoutMs: 400, atMs: 2_100, serviceMs: 100 },
      { ...slowCall, timeoutMs: 400, atMs: 2_150, serviceMs: 10 },
    ],
  },
];

describe('gate queue after a period of slow service', () => {
  estimateCases.forEach(({ name, slots, calls }) => {
    it(name, async () => {
      const { outcomes } = await runSimulation({ slots, queueLimit: 5, calls });
      assert.deepEqual(
        outcomes.map(({ results }) => results.join()),
        ['ran', 'ran', 'ran'],
      );
    });
  });
});
