import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createUplinkAdmission } from '../../CactusdealRelayUplinkAdmission.js';
import { createUplinkSchedule, type UplinkTransfer } from '../../CactusdealRelayUplinkSchedule.js';

const PIECE_BYTES = 16 * 1024;
/** Bytes per millisecond of a link of 7 Mbit/s, and what large answers get of them. */
const LINK_RATE = 875;
const LARGE_RATE = LINK_RATE * 0.85;

/** A transfer that notes its pieces in `log` and whose link can be made unwritable. */
function createTransfer(
  name: string,
  pieces: number,
  targetAtMs: number,
  log: string[],
): UplinkTransfer & { isBlocked: boolean } {
  let leftPieces = pieces;
  return {
    isBlocked: false,
    targetAtMs,
    countRemainingBytes: () => leftPieces * PIECE_BYTES,
    isWritable() {
      return !this.isBlocked;
    },
    writePiece: () => {
      log.push(name);
      leftPieces -= 1;
      return PIECE_BYTES;
    },
  };
}

interface ScheduleCase {
  readonly name: string;
  /** Name, pieces and target of each transfer. One piece takes 16.384 ms. */
  readonly transfers: readonly (readonly [string, number, number])[];
  /** Name of a transfer whose link takes nothing after its first piece. */
  readonly stalled?: string;
  /** Name of a transfer whose link ends after its first piece. */
  readonly ended?: string;
  readonly expected: string;
}

const scheduleCases: readonly ScheduleCase[] = [
  {
    name: 'completes one answer after the other, by earliest target',
    transfers: [
      ['a', 2, 900],
      ['b', 2, 800],
      ['c', 2, 700],
    ],
    expected: 'ccbbaa',
  },
  {
    name: 'writes answers that are late already after the others',
    transfers: [
      ['a', 2, 10],
      ['b', 2, 800],
    ],
    expected: 'bbaa',
  },
  {
    name: 'interrupts an answer that can not meet its target for one that can',
    transfers: [
      ['a', 9, 100],
      ['b', 2, 800],
    ],
    expected: 'bbaaaaaaaaa',
  },
  {
    name: 'goes on with the others when a receiver stops reading',
    transfers: [
      ['a', 2, 700],
      ['b', 2, 800],
      ['c', 2, 900],
    ],
    stalled: 'a',
    expected: 'abbcc',
  },
  {
    name: 'goes on with the others when a link ends midway',
    transfers: [
      ['a', 2, 700],
      ['b', 2, 800],
    ],
    ended: 'a',
    expected: 'abb',
  },
];

describe('schedule of an uplink', () => {
  scheduleCases.forEach(({ name, transfers, stalled, ended, expected }) => {
    it(name, () => {
      const log: string[] = [];
      const schedule = createUplinkSchedule(1_000);
      const byName = new Map(
        transfers.map(([id, pieces, targetAtMs]) => [
          id,
          createTransfer(id, pieces, targetAtMs, log),
        ]),
      );
      byName.forEach((transfer) => schedule.add(transfer));
      let nowMs = 0;
      for (let round = 0; round < 50; round += 1) {
        const waitMs = schedule.run(nowMs);
        const stalledTransfer = byName.get(stalled ?? '');
        if (stalledTransfer !== undefined) stalledTransfer.isBlocked = true;
        const endedTransfer = byName.get(ended ?? '');
        if (endedTransfer !== undefined) schedule.remove(endedTransfer);
        if (waitMs === undefined) break;
        nowMs += waitMs;
      }
      assert.equal(log.join(''), expected);
      const stalledBytes = stalled === undefined ? 0 : PIECE_BYTES;
      assert.equal(schedule.countWaitingBytes(), stalledBytes);
    });
  });

  it('gives the turns of two stalled receivers to a third, and writes the rest when they read', () => {
    const log: string[] = [];
    const schedule = createUplinkSchedule(1_000);
    const a = createTransfer('a', 2, 700, log);
    const b = createTransfer('b', 2, 800, log);
    [a, b].forEach((transfer) => schedule.add(transfer));
    schedule.run(0);
    a.isBlocked = true;
    schedule.run(20);
    b.isBlocked = true;
    schedule.add(createTransfer('c', 1, 900, log));
    assert.equal(schedule.run(50), 50);
    schedule.run(100);
    assert.equal(log.join(''), 'abc');
    a.isBlocked = false;
    schedule.run(200);
    assert.equal(log.join(''), 'abca');
  });
});

interface ReplayedCall extends UplinkTransfer {
  readonly kind: string;
  readonly arrivedAtMs: number;
  readonly latestAnswerAtMs: number;
  /** Bytes of its link that have not passed the network interface. */
  queuedBytes: number;
}

/** Replays one upstream's part of 93 calls a second with answers of 78 KB, for 20 s. */
function runOverload(usesUplink: boolean): {
  inTime: number;
  late: number;
  smallWaitMs: number;
} {
  const schedule = createUplinkSchedule(LARGE_RATE);
  const admission = createUplinkAdmission<ReplayedCall>(LARGE_RATE, schedule.countWaitingBytes);
  const network: { call: ReplayedCall; bytes: number }[] = [];
  const running: ReplayedCall[] = [];
  let sharing: ReplayedCall[] = [];
  const result = { inTime: 0, late: 0, smallWaitMs: 0 };
  let arrivals = 0;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 1) {
    for (; arrivals < (nowMs * 18.6) / 1_000; arrivals += 1) {
      const call = createReplayedCall(nowMs, network);
      if (!usesUplink || admission.computeWaitMs(call, 20, nowMs) === 0) {
        admission.reserve(call);
        running.push(call);
      }
    }
    while (running[0] !== undefined && nowMs - running[0].arrivedAtMs >= 20) {
      const call = running.shift() as ReplayedCall;
      admission.release(call, call.countRemainingBytes());
      if (usesUplink) schedule.add(call);
      else sharing.push(call);
    }
    if (usesUplink) schedule.run(nowMs);
    else sharing.filter((call) => call.isWritable()).forEach((call) => call.writePiece());
    sharing = sharing.filter((call) => call.countRemainingBytes() > 0);
    drainNetwork(nowMs);
    const queuedBytes = network.reduce((sum, { bytes }) => sum + bytes, 0);
    result.smallWaitMs = Math.max(result.smallWaitMs, queuedBytes / LINK_RATE);
  }
  return result;

  function drainNetwork(nowMs: number): void {
    let room = LINK_RATE;
    while (room > 0 && network[0] !== undefined) {
      const [piece] = network;
      const passed = Math.min(room, piece.bytes);
      piece.bytes -= passed;
      piece.call.queuedBytes -= passed;
      room -= passed;
      if (piece.bytes > 0) return;
      network.shift();
      if (piece.call.countRemainingBytes() > 0) continue;
      if (nowMs <= piece.call.targetAtMs) result.inTime += 1;
      else result.late += 1;
    }
  }
}

function createReplayedCall(
  arrivedAtMs: number,
  network: { call: ReplayedCall; bytes: number }[],
): ReplayedCall {
  let left = 78 * 1_024;
  const targetAtMs = arrivedAtMs + 1_160;
  const call: ReplayedCall = {
    kind: '1/1160/repeatable/large',
    arrivedAtMs,
    targetAtMs,
    latestAnswerAtMs: targetAtMs,
    queuedBytes: 0,
    countRemainingBytes: () => left,
    isWritable: () => call.queuedBytes === 0,
    writePiece: () => {
      const bytes = Math.min(PIECE_BYTES, left);
      left -= bytes;
      call.queuedBytes += bytes;
      network.push({ call, bytes });
      return bytes;
    },
  };
  return call;
}

describe('large answers at twice the bandwidth of the uplink', () => {
  it('are answered in time or refused, and small messages wait for two pieces at most', (t) => {
    const without = runOverload(false);
    const withUplink = runOverload(true);
    t.diagnostic(JSON.stringify({ without, withUplink }));
    assert.ok(withUplink.inTime > 5 * without.inTime);
    assert.ok(withUplink.late <= withUplink.inTime / 50);
    assert.ok(withUplink.smallWaitMs <= (2 * PIECE_BYTES) / LINK_RATE);
    assert.ok(without.smallWaitMs > 10 * withUplink.smallWaitMs);
  });
});

describe('admission to an uplink', () => {
  const call = (kind: string): { kind: string; latestAnswerAtMs: number } => ({
    kind,
    latestAnswerAtMs: 500,
  });
  const large = call('1/500/repeatable/large');
  const cases: readonly [string, typeof large, waitingBytes: number, isRefused: boolean][] = [
    ['admits a call if nothing waits, however late', { ...large, latestAnswerAtMs: 1 }, 0, false],
    ['admits a call whose answer is in time', large, 200_000, false],
    ['refuses a call whose answer would be late', large, 450_000, true],
    ['admits calls with small answers', call('1/500/repeatable'), 450_000, false],
    ['knows large answers with large bodies', call('1/500/once/large/large-body'), 450_000, true],
    ['does not take large bodies for large answers', call('1/500/once/large-body'), 450_000, false],
  ];
  cases.forEach(([name, request, waitingBytes, isRefused]) => {
    it(name, () => {
      const admission = createUplinkAdmission(1_000, () => waitingBytes);
      assert.equal(admission.computeWaitMs(request, 10, 0) > 0, isRefused);
    });
  });

  it('counts the expected answers of admitted calls until they end', () => {
    const admission = createUplinkAdmission(1_000, () => 0);
    const first = { ...large };
    admission.reserve(first);
    admission.release(first, 300_000);
    admission.reserve(first);
    assert.equal(admission.computeWaitMs(large, 10, 0), 150);
    admission.release(first, undefined);
    assert.equal(admission.computeWaitMs(large, 10, 0), 0);
  });
});
