import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSilentLog } from '@cactusdeal/shared';
import { createUpstreamTracker, isNewer } from '../../CactusdealRelayUpstreamTracker.js';
import type { Upstream } from '../../CactusdealRelayTypes.js';
import { buildUpstream } from '../CactusdealRelayFixtures.js';

const known = { id: 'u1', startedAtMs: 1_000, sequence: 5 } as const;

const cases: readonly [name: string, known: Partial<Upstream>, next: Partial<Upstream>, boolean][] =
  [
    ['the next of the same instance', known, { ...known, sequence: 6 }, true],
    ['a repeated one', known, known, false],
    ['one that arrived after a later one', known, { ...known, sequence: 4 }, false],
    [
      'one of a later instance with the same id',
      known,
      { ...known, startedAtMs: 2_000, sequence: 1 },
      true,
    ],
    [
      'one of an earlier instance with the same id',
      known,
      { ...known, startedAtMs: 500, sequence: 9 },
      false,
    ],
    [
      'one of a later instance with another id',
      known,
      { id: 'u2', startedAtMs: 2_000, sequence: 1 },
      true,
    ],
    [
      'one of an earlier instance with another id',
      known,
      { id: 'u0', startedAtMs: 10, sequence: 9 },
      false,
    ],
    [
      'a late one of an instance that has ended',
      { ...known, state: 'gone' },
      { ...known, sequence: 9 },
      false,
    ],
  ];

describe('order of heartbeats', () => {
  cases.forEach(([name, before, next, expected]) => {
    it(`${expected ? 'accepts' : 'ignores'} ${name}`, () => {
      assert.equal(isNewer(buildUpstream(next), buildUpstream(before)), expected);
    });
  });
});

interface EndCase {
  readonly name: string;
  /** Start of the instance named by its end; undefined if it names none. */
  readonly start: number | undefined;
  /** Start of the instance whose heartbeat arrives after the end. */
  readonly next: number;
  readonly isAccepted: boolean;
}

const NOW_MS = 5_000;

const ends: readonly EndCase[] = [
  { name: 'a late heartbeat of the same instance', start: 1_000, next: 1_000, isAccepted: false },
  { name: 'a heartbeat of a later instance', start: 1_000, next: 1_001, isAccepted: true },
  {
    name: 'a late heartbeat if the end names no start',
    start: undefined,
    next: 1_000,
    isAccepted: false,
  },
  {
    name: 'a heartbeat of a later instance if the end names no start',
    start: undefined,
    next: 6_000,
    isAccepted: true,
  },
];

describe('end of an instance that the daemon did not know', () => {
  ends.forEach(({ name, start, next, isAccepted }) => {
    it(`${isAccepted ? 'accepts' : 'ignores'} ${name}`, () => {
      const tracker = createUpstreamTracker({
        service: 'records',
        heartbeatMs: 1_000,
        clock: () => 0,
        wallClock: () => NOW_MS,
        log: createSilentLog(),
        observe: () => {},
        observeDeparture: () => {},
      });
      tracker.receiveEnd('u1', start);
      const heartbeat = { ...buildUpstream({ startedAtMs: next }), address: '127.0.0.1:1' };
      assert.equal(tracker.receive(heartbeat), isAccepted);
      tracker.close();
    });
  });
});

interface RestoreCase {
  readonly name: string;
  /** What other daemons know of the upstream after the restart of its daemon. */
  readonly restored: Partial<Upstream>;
  /** The heartbeat that arrives next, or before if `isEarly`. */
  readonly heartbeat: Partial<Upstream>;
  readonly isEarly?: boolean;
  /** State after both. */
  readonly expected: Upstream['state'];
}

const restoreCases: readonly RestoreCase[] = [
  {
    name: 'closed to a late heartbeat of an instance that has left',
    restored: { ...known, state: 'gone' },
    heartbeat: { ...known, sequence: 4 },
    expected: 'gone',
  },
  {
    name: 'closed after a late heartbeat of an instance that has left',
    restored: { ...known, state: 'gone' },
    heartbeat: { ...known, sequence: 4 },
    isEarly: true,
    expected: 'gone',
  },
  {
    name: 'closed to a heartbeat from before the drain',
    restored: { ...known, state: 'draining' },
    heartbeat: { ...known, sequence: 4 },
    expected: 'draining',
  },
  {
    name: 'closed after a heartbeat from before the drain',
    restored: { ...known, state: 'draining' },
    heartbeat: { ...known, sequence: 4 },
    isEarly: true,
    expected: 'draining',
  },
  {
    name: 'open to a heartbeat after the drain',
    restored: { ...known, state: 'draining' },
    heartbeat: { ...known, sequence: 6 },
    expected: 'ready',
  },
  {
    name: 'closed to a heartbeat after the leave',
    restored: { ...known, state: 'leaving' },
    heartbeat: { ...known, sequence: 6 },
    expected: 'leaving',
  },
  {
    name: 'closed after a late word of the leave',
    restored: { ...known, state: 'leaving' },
    heartbeat: { ...known, sequence: 6 },
    isEarly: true,
    expected: 'leaving',
  },
  {
    name: 'open for a new instance while a neighbour tells of the last one',
    restored: { ...known, state: 'gone' },
    heartbeat: { ...known, startedAtMs: 2_000, sequence: 1 },
    isEarly: true,
    expected: 'ready',
  },
];

describe('upstream of a restarted daemon', () => {
  restoreCases.forEach(({ name, restored, heartbeat, isEarly = false, expected }) => {
    it(`is ${name}`, () => {
      const tracker = createUpstreamTracker({
        service: 'records',
        heartbeatMs: 1_000,
        clock: () => 0,
        wallClock: () => 5_000,
        log: createSilentLog(),
        observe: () => {},
        observeDeparture: () => {},
      });
      const receive = (): unknown =>
        tracker.receive({ ...buildUpstream(heartbeat), address: '127.0.0.1:1' });
      if (isEarly) receive();
      tracker.receiveDeparture(buildUpstream(restored));
      if (!isEarly) receive();
      assert.equal(tracker.get()?.state, expected);
      tracker.close();
    });
  });
});
