import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createGateLatency, type GateLatency } from '../../CactusdealRelayGateLatency.js';

interface Case {
  readonly name: string;
  readonly record: (latency: GateLatency) => void;
  readonly waitMs?: number;
  readonly expected: readonly [fromMs: number, toMs: number];
}

const cases: readonly Case[] = [
  { name: 'no samples', record: () => {}, expected: [0, 0] },
  {
    name: 'answers without delay',
    record: (latency) => latency.recordAnswer('kind', 120, 100, 20),
    expected: [0, 0],
  },
  {
    name: 'answers through a slow daemon',
    record: (latency) => {
      for (let call = 0; call < 20; call += 1) latency.recordAnswer('kind', 420, 100, 20);
    },
    expected: [290, 300],
  },
  {
    name: 'answers through a slow daemon 20 s ago',
    record: (latency) => {
      for (let call = 0; call < 20; call += 1) latency.recordAnswer('kind', 420, 100, 20);
    },
    waitMs: 20_000,
    expected: [0, 1],
  },
  {
    name: 'calls that were cancelled late',
    record: (latency) => {
      latency.recordAnswer('kind', 100, 100, 0);
      for (let call = 0; call < 20; call += 1) latency.recordAbandoned('kind', 1_100);
    },
    expected: [950, 1_000],
  },
  {
    name: 'a call that was cancelled early',
    record: (latency) => {
      latency.recordAnswer('kind', 100, 100, 0);
      latency.recordAbandoned('kind', 150);
    },
    expected: [0, 0],
  },
];

describe('overhead of a gate', () => {
  cases.forEach(({ name, record, waitMs = 0, expected: [fromMs, toMs] }) => {
    it(`after ${name} is ${fromMs} to ${toMs} ms`, () => {
      let nowMs = 0;
      const latency = createGateLatency(() => nowMs);
      record(latency);
      nowMs += waitMs;
      const overheadMs = latency.getOverheadMs();
      assert.ok(overheadMs >= fromMs && overheadMs <= toMs, String(overheadMs));
    });
  });
});
