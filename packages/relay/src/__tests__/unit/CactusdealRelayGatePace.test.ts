import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createGateLatency, type GateLatency } from '../../CactusdealRelayGatePace.js';

interface Case {
  readonly name: string;
  readonly record: (pace: GateLatency) => void;
  readonly waitMs?: number;
  readonly expected: readonly [fromMs: number, toMs: number];
}

const cases: readonly Case[] = [
  { name: 'nothing', record: () => {}, expected: [0, 0] },
  {
    name: 'answers without delay',
    record: (pace) => pace.recordAnswer('kind', 120, 100, 20),
    expected: [0, 0],
  },
  {
    name: 'answers of a slow daemon',
    record: (pace) => {
      for (let call = 0; call < 20; call += 1) pace.recordAnswer('kind', 420, 100, 20);
    },
    expected: [290, 300],
  },
  {
    name: 'a slow daemon a while ago',
    record: (pace) => {
      for (let call = 0; call < 20; call += 1) pace.recordAnswer('kind', 420, 100, 20);
    },
    waitMs: 20_000,
    expected: [0, 1],
  },
  {
    name: 'calls that were given up',
    record: (pace) => {
      pace.recordAnswer('kind', 100, 100, 0);
      for (let call = 0; call < 20; call += 1) pace.recordAbandoned('kind', 1_100);
    },
    expected: [950, 1_000],
  },
  {
    name: 'a call that was given up early',
    record: (pace) => {
      pace.recordAnswer('kind', 100, 100, 0);
      pace.recordAbandoned('kind', 150);
    },
    expected: [0, 0],
  },
];

describe('time that a gate takes besides', () => {
  cases.forEach(({ name, record, waitMs = 0, expected: [fromMs, toMs] }) => {
    it(`after ${name} is ${fromMs} to ${toMs} ms`, () => {
      let nowMs = 0;
      const pace = createGateLatency(() => nowMs);
      record(pace);
      nowMs += waitMs;
      const overheadMs = pace.getOverheadMs();
      assert.ok(overheadMs >= fromMs && overheadMs <= toMs, String(overheadMs));
    });
  });
});
