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
    name: 'answers to large bodies, whose transfer says nothing of small calls',
    record: (latency) => {
      const circumstances = { slowFactor: 1, bodyBytes: 100_000 };
      for (let call = 0; call < 20; call += 1)
        latency.recordAnswer('kind', 420, 100, 20, circumstances);
    },
    expected: [0, 0],
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

interface EstimateCase {
  readonly name: string;
  readonly record: (latency: GateLatency) => void;
  readonly estimate: (latency: GateLatency) => number | undefined;
  readonly expectedMs: number;
}

const estimateCases: readonly EstimateCase[] = [
  {
    name: 'transfer of a small body',
    record: () => {},
    estimate: (latency) => latency.getTransferMs(16_000),
    expectedMs: 0,
  },
  {
    name: 'transfer over a link that nothing is known of',
    record: () => {},
    estimate: (latency) => latency.getTransferMs(70_000),
    expectedMs: 80,
  },
  {
    name: 'transfer over a link that took 200 ms for 100 KB',
    record: (latency) => {
      for (let call = 0; call < 40; call += 1)
        latency.recordAnswer('kind', 300, 100, 0, { slowFactor: 1, bodyBytes: 100_000 });
    },
    estimate: (latency) => latency.getTransferMs(50_000),
    expectedMs: 100,
  },
  {
    name: 'service time after calls that failed at once',
    record: (latency) => {
      latency.recordAnswer('kind', 100, 100, 0);
      for (let call = 0; call < 40; call += 1) latency.recordFailed('kind', 2, 2, 0);
    },
    estimate: (latency) => latency.getServiceMs('kind'),
    expectedMs: 100,
  },
  {
    name: 'usual service time after calls to an upstream that is warming up',
    record: (latency) => {
      for (let call = 0; call < 40; call += 1)
        latency.recordAnswer('kind', 200, 200, 0, { slowFactor: 2, bodyBytes: 0 });
    },
    estimate: (latency) => latency.getServiceMs('kind'),
    expectedMs: 100,
  },
];

describe('estimate for a gate', () => {
  estimateCases.forEach(({ name, record, estimate, expectedMs }) => {
    it(`is ${expectedMs} ms: ${name}`, () => {
      const latency = createGateLatency(() => 0);
      record(latency);
      assert.equal(Math.round(estimate(latency) ?? NaN), expectedMs);
    });
  });
});
