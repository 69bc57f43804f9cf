import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createDownlinkSchedule,
  type DownlinkSchedule,
  type OfferedBody,
} from '../../CactusdealRelayDownlinkSchedule.js';

/** Bytes per millisecond of a link of 10 Mbit/s, and what large bodies get of them. */
const LINK_RATE = 1_250;
const LARGE_RATE = LINK_RATE * 0.85;
const KIB = 1024;
/** Bytes granted at once on such a link. */
const WINDOW_BYTES = 32 * KIB;

interface ScheduleCase {
  readonly name: string;
  /** Name, KiB and target of each body, offered one after the other. */
  readonly bodies: readonly (readonly [string, number, number])[];
  /** What happens next: bytes of a body arrive, it is removed, or time passes, in milliseconds. */
  readonly steps: readonly (
    readonly ['arrive', string, number] | readonly ['remove', string] | readonly ['wait', number]
  )[];
  /** Grants in order: name and KiB. */
  readonly expected: readonly string[];
}

const cases: readonly ScheduleCase[] = [
  {
    name: 'no more than the window at once',
    bodies: [['a', 64, 900]],
    steps: [],
    expected: ['a 32'],
  },
  {
    name: 'as much as has arrived',
    bodies: [['a', 64, 900]],
    steps: [
      ['arrive', 'a', 16],
      ['arrive', 'a', 8],
    ],
    expected: ['a 32', 'a 16', 'a 8'],
  },
  {
    name: 'one body after the other, by earliest target',
    bodies: [
      ['a', 32, 900],
      ['b', 32, 800],
      ['c', 32, 700],
    ],
    steps: [
      ['arrive', 'a', 32],
      ['arrive', 'c', 32],
    ],
    expected: ['a 32', 'c 32', 'b 32'],
  },
  {
    name: 'bodies that cannot be in time after the others',
    bodies: [
      ['a', 32, 900],
      ['b', 64, 10],
      ['c', 32, 800],
    ],
    steps: [['arrive', 'a', 32]],
    expected: ['a 32', 'c 32'],
  },
  {
    name: 'what a removed body has left',
    bodies: [
      ['a', 64, 800],
      ['b', 32, 900],
    ],
    steps: [['remove', 'a']],
    expected: ['a 32', 'b 32'],
  },
  {
    name: 'what a sender that stands still does not use',
    bodies: [
      ['a', 64, 800],
      ['b', 32, 900],
    ],
    steps: [['wait', 200]],
    expected: ['a 32', 'b 32'],
  },
];

describe('a downlink grants', () => {
  cases.forEach(({ name, bodies, steps, expected }) => {
    it(name, () => {
      let nowMs = 0;
      const granted: string[] = [];
      const schedule = createDownlinkSchedule(LARGE_RATE);
      const byName = new Map<string, OfferedBody>();
      bodies.forEach(([body, kib, targetAtMs]) => {
        const grant = (bytes: number): unknown => granted.push(`${body} ${bytes / KIB}`);
        const offered = { bytes: kib * KIB, targetAtMs, serviceMs: 0, grant };
        byName.set(body, offered);
        schedule.add(offered, nowMs);
      });
      steps.forEach((step) => {
        if (step[0] === 'wait') nowMs += step[1];
        else if (step[0] === 'remove') schedule.remove(byName.get(step[1]) as OfferedBody, nowMs);
        else schedule.receive(byName.get(step[1]) as OfferedBody, step[2] * KIB, nowMs);
        schedule.run(nowMs);
      });
      assert.deepEqual(granted, expected);
    });
  });

  it('no body whose answer would be late, unless nothing is ahead of it', () => {
    const schedule = createDownlinkSchedule(LARGE_RATE);
    const build = (targetAtMs: number): OfferedBody => ({
      bytes: 100_000,
      targetAtMs,
      serviceMs: 100,
      grant: () => {},
    });
    assert.equal(schedule.computeWaitMs(build(50), 0), 0);
    schedule.add(build(300), 0);
    assert.ok(schedule.computeWaitMs(build(280), 0) === 0, 'an earlier target goes ahead');
    assert.ok(schedule.computeWaitMs(build(301), 0) === 0, '288 ms are enough');
    schedule.add(build(301), 0);
    assert.equal(Math.round(schedule.computeWaitMs(build(302), 0)), 80);
  });
});

/** Latency of messages one way, in milliseconds. */
const ONE_WAY_MS = 2;
const REPLAY_MS = 20_000;
const BODY_BYTES = 60_000;

/**
 * Plays the FIFO link in front of a host, to which many senders send bodies that are offered at `bytesPerMs`, in
 * bursts. Returns the longest queue that a small message meets, in milliseconds, and how many bodies have arrived.
 */
function measureFanIn(
  bytesPerMs: number,
  isGranted: boolean,
): { queueMs: number; arrived: number } {
  const schedule: DownlinkSchedule = createDownlinkSchedule(LARGE_RATE);
  const onWay: { readonly atMs: number; readonly body: OfferedBody; readonly bytes: number }[] = [];
  const queue: { readonly body: OfferedBody; readonly bytes: number }[] = [];
  let queuedBytes = 0;
  let longestBytes = 0;
  let arrived = 0;
  let offeredBytes = 0;
  let spareBytes = 0;
  for (let nowMs = 0; nowMs < REPLAY_MS; nowMs += 1) {
    // Six bodies at a time, as many as the load amounts to.
    if (offeredBytes + 6 * BODY_BYTES <= bytesPerMs * nowMs) {
      offeredBytes += 6 * BODY_BYTES;
      for (let index = 0; index < 6; index += 1) {
        const body: OfferedBody = {
          bytes: BODY_BYTES,
          targetAtMs: nowMs + 2_000,
          serviceMs: 0,
          grant: (bytes) => onWay.push({ atMs: nowMs + 2 * ONE_WAY_MS, body, bytes }),
        };
        if (isGranted) schedule.add(body, nowMs);
        else onWay.push({ atMs: nowMs + ONE_WAY_MS, body, bytes: BODY_BYTES });
      }
    }
    while (onWay[0] !== undefined && onWay[0].atMs <= nowMs) {
      const { body, bytes } = onWay.shift() as (typeof onWay)[number];
      queue.push({ body, bytes });
      queuedBytes += bytes;
    }
    longestBytes = Math.max(longestBytes, queuedBytes);
    spareBytes = queue.length === 0 ? 0 : spareBytes + LINK_RATE;
    while (queue[0] !== undefined && queue[0].bytes <= spareBytes) {
      const { body, bytes } = queue.shift() as (typeof queue)[number];
      spareBytes -= bytes;
      queuedBytes -= bytes;
      arrived += bytes / BODY_BYTES;
      if (isGranted) schedule.receive(body, bytes, nowMs);
    }
  }
  return { queueMs: longestBytes / LINK_RATE, arrived: Math.round(arrived) };
}

// Guards against SHORT: small calls were given up behind the large bodies of many senders at one host's link.
describe('the queue in front of a host to which many senders send large bodies', () => {
  [0.4, 0.7, 0.8].forEach((load) => {
    it(`stays short at a load of ${load}`, () => {
      const granted = measureFanIn(LINK_RATE * load, true);
      const free = measureFanIn(LINK_RATE * load, false);
      assert.ok(granted.queueMs <= WINDOW_BYTES / LINK_RATE + 1, `${granted.queueMs} ms`);
      assert.ok(free.queueMs > 250, `${free.queueMs} ms without grants`);
      assert.ok(granted.arrived >= free.arrived - 12, `${granted.arrived} of ${free.arrived}`);
    });
  });
});
