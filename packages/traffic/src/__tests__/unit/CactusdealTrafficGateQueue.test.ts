import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Either } from 'purify-ts';
import { createGateQueue, type AdmissionRequest, type Refusal, type Slot } from '../../index.js';
import { runSimulation } from '../CactusdealTrafficSimulation.js';

interface Arrival {
  readonly name: string;
  readonly request: Partial<AdmissionRequest>;
}

const base: Omit<AdmissionRequest, 'signal'> = {
  className: 'records',
  rank: 'normal',
  share: 0,
  worth: 1,
  deadlineAtMs: 1_000,
};

/** One slot is held while the arrivals queue up; then each slot is released in turn. */
async function collectOrder(arrivals: readonly Arrival[], queueLimit: number): Promise<string[]> {
  const queue = createGateQueue({ slots: 1, getQueueLimit: () => queueLimit, clock: () => 0 });
  const seen: string[] = [];
  const { signal } = new AbortController();
  const first = await queue.admit({ ...base, className: 'first', signal });
  const release = (result: Either<Refusal, Slot>): void => {
    result.ifRight((slot) => slot.release());
  };
  const rest = arrivals.map(async ({ name, request }) => {
    const result = await queue.admit({ ...base, signal, ...request });
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
      { name: 'cheap', request: { worth: 1 } },
      { name: 'dear', request: { worth: 9 } },
    ],
    order: ['cheap:Shed:not-run', 'dear'],
  },
  {
    name: 'refuses the newcomer when it is worth least',
    queueLimit: 1,
    arrivals: [
      { name: 'dear', request: { worth: 9 } },
      { name: 'cheap', request: { worth: 1 } },
    ],
    order: ['cheap:QueueFull:not-run', 'dear'],
  },
  {
    name: 'refuses a passed deadline',
    arrivals: [{ name: 'past', request: { deadlineAtMs: 0 } }],
    order: ['past:DeadlineUnmeetable:not-run'],
  },
  {
    name: 'refuses a cancelled call',
    arrivals: [{ name: 'gone', request: { signal: aborted.signal } }],
    order: ['gone:Cancelled:not-run'],
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

const slow = {
  className: 'records',
  rank: 'normal',
  share: 0,
  worth: 1,
  atMs: 0,
  serviceMs: 2_000,
} as const;

const estimates = [
  {
    name: 'runs a call on a free slot that nobody waits for, however slow its class was',
    slots: 2,
    calls: [
      { ...slow, patienceMs: 5_000 },
      { ...slow, patienceMs: 5_000, atMs: 3_000, serviceMs: 1_000 },
      { ...slow, patienceMs: 500, atMs: 3_100, serviceMs: 10 },
    ],
  },
  {
    name: 'gives a call half of its time a chance, however slow its class was',
    slots: 1,
    calls: [
      { ...slow, patienceMs: 400 },
      { ...slow, patienceMs: 400, atMs: 2_100, serviceMs: 100 },
      { ...slow, patienceMs: 400, atMs: 2_150, serviceMs: 10 },
    ],
  },
];

describe('gate queue, after a slow spell', () => {
  estimates.forEach(({ name, slots, calls }) => {
    it(name, async () => {
      const { outcomes } = await runSimulation({ slots, queueLimit: 5, calls });
      assert.deepEqual(
        outcomes.map(({ settlements }) => settlements.join()),
        ['ran', 'ran', 'ran'],
      );
    });
  });
});
