import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createQuarantine } from '@cactusdeal/quarantine';
import { createDeferredTasks, createSilentLog } from '@cactusdeal/shared';
import type { Gate } from '../../CactusdealRelayGate.js';
import type { Members } from '../../CactusdealRelayMembers.js';
import type { Peer } from '../../CactusdealRelayPeer.js';
import { createRetryBudget } from '../../CactusdealRelayRetryBudget.js';
import { createRouter, type RoutedCall, type Router } from '../../CactusdealRelayRouter.js';
import {
  type Attempt,
  type AttemptEnd,
  buildNotRun,
  NotRunReason,
  UnknownReason,
} from '../../CactusdealRelayTypes.js';
import { buildCall, buildGateView } from '../CactusdealRelayFixtures.js';
import { NAMES } from '../CactusdealRelayTestCluster.js';

const routedCall: RoutedCall = {
  id: 'c1',
  call: buildCall(),
  maxAttempts: 3,
  startedAtMs: 0,
  wantedAtMs: 0,
  targetAtMs: 500,
  deadlineAtMs: 1_000,
};

interface Case {
  readonly name: string;
  /** How the attempt at the first gate ends. */
  readonly end: AttemptEnd;
  /** Whether the caller's departure is read right after this end, in the same turn. */
  readonly isCancelled: boolean;
  readonly attempts: number;
}

const closed = buildNotRun(NotRunReason.Closed);
const lost: AttemptEnd = { type: 'unknown', reason: UnknownReason.LinkLost };

const cases: readonly Case[] = [
  { name: 'a refusal', end: closed, isCancelled: false, attempts: 2 },
  { name: 'a refusal and a departure', end: closed, isCancelled: true, attempts: 1 },
  { name: 'a lost link', end: lost, isCancelled: false, attempts: 2 },
  { name: 'a lost link and a departure', end: lost, isCancelled: true, attempts: 1 },
];

// Guards against GONE: a call went on to the next gate although its caller's departure lay beside the refusal.
describe('gates that a call reaches after', () => {
  cases.forEach(({ name, end, isCancelled, attempts }) => {
    it(name, async () => {
      const ends: ((end: AttemptEnd) => void)[] = [];
      const run = createTestRouter(ends).route(routedCall);
      ends[0]?.(end);
      await new Promise(process.nextTick);
      if (isCancelled) run.cancel();
      const waits = createDeferredTasks();
      for (let turn = 0; turn < 4; turn += 1) await waits.wait();
      ends.slice(1).forEach((settle) => settle({ type: 'unknown', reason: UnknownReason.Broken }));
      await run.end;
      assert.equal(ends.length, attempts);
    });
  });
});

function createTestRouter(ends: ((end: AttemptEnd) => void)[]): Router {
  const attempt = (): Attempt => ({
    end: new Promise((resolve) => {
      ends.push(resolve);
    }),
    cancel: () => {},
  });
  const peer = { send: attempt, avoid: () => {} } as unknown as Peer;
  const members = {
    listGates: () => ['d1', 'd2'].map((memberId) => buildGateView({ memberId })),
    find: () => peer,
  } as unknown as Members;
  const gate = { getReport: () => buildGateView({ report: { service: 'desk' } }).report };
  const clock = (): number => 0;
  return createRouter({
    self: { id: 'd0', dataCentre: 'west', service: 'desk', address: '127.0.0.1:1' },
    names: NAMES,
    gate: gate as unknown as Gate,
    members,
    retryBudget: createRetryBudget({ ratio: 1, rerunRatio: 1, reserve: 9, refillMs: 1_000, clock }),
    quarantine: createQuarantine({ source: 'd0', clock, publish: () => {} }),
    deferredTasks: createDeferredTasks(),
    clock,
    random: () => 0,
    log: createSilentLog(),
  });
}
