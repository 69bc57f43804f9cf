import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom, getMonotonicMs } from '@cactusdeal/shared';
import {
  type LoadClass,
  mergeRecorded,
  parseLoadPlan,
  planArrivals,
  recordLoad,
} from '../../index.js';

const records: LoadClass = {
  name: 'records',
  callsPerSecond: 200,
  method: 'GET',
  path: '/records',
  bodyBytes: 0,
  isKeyed: false,
  deadlineMs: 1_000,
};
const photographs: LoadClass = { ...records, name: 'photographs', callsPerSecond: 100 };
const classes = [records, photographs];

const plans = [
  {
    name: 'fills in defaults for missing keys',
    text: '[[class]]\nname = "a"\npath = "/a"\ncallsPerSecond = 1',
    answer: 'a GET',
  },
  {
    name: 'lists every invalid key',
    text: '[[class]]\nname = ""\npath = "a"\ncallsPerSecond = 1',
    answer: 'class[0].name: found ""; class[0].path: found "a"',
  },
  {
    name: 'rejects a plan without a [[class]] table',
    text: '',
    answer: 'the load plan has no [[class]] table; at least one is required',
  },
];

describe('parseLoadPlan', () => {
  plans.forEach(({ name, text, answer }) => {
    it(name, () => {
      const found = parseLoadPlan(text).caseOf({
        Left: ({ message }) => message,
        Right: (parsed) => parsed.map((item) => `${item.name} ${item.method}`).join(),
      });
      assert.equal(found, answer);
    });
  });
});

describe('planArrivals', () => {
  it('gives the same sorted arrivals at the requested rates for the same seed', () => {
    const [first, second] = [1, 1].map((seed) =>
      planArrivals(classes, 10_000, createSeededRandom(seed)),
    );
    assert.deepEqual(first, second);
    const times = first?.map(({ atMs }) => atMs) ?? [];
    assert.deepEqual(
      times,
      times.toSorted((left, right) => left - right),
    );
    const count = first?.filter(({ loadClass }) => loadClass === records).length ?? 0;
    assert.ok(Math.abs(count - 2_000) < 200, `${count} arrivals`);
  });
});

describe('recordLoad', () => {
  it('measures latency from the scheduled time while an earlier call blocks the process', async () => {
    const blockMs = 200;
    let isFirst = true;
    const recorded = await recordLoad({
      classes: [records],
      durationMs: 400,
      seed: 1,
      send: async () => {
        const untilMs = getMonotonicMs() + (isFirst ? blockMs : 0);
        while (getMonotonicMs() < untilMs);
        isFirst = false;
        return { label: 'ok', isSuccess: true };
      },
    });
    const [result] = mergeRecorded([recorded, recorded], 400).classes;
    assert.equal(result?.sent, result?.endings.ok);
    assert.ok(
      (result?.latency.p90Ms ?? 0) > 50,
      'the latency of the delayed calls includes their wait',
    );
  });

  it('counts a rejected send as a failed call labelled with its error', async () => {
    const send = (): Promise<never> => Promise.reject(new TypeError('broken'));
    const recorded = await recordLoad({ classes, durationMs: 50, seed: 1, send });
    recorded.forEach(({ sent, good, endings }) =>
      assert.deepEqual([good, endings.broken], [0, sent]),
    );
  });
});
