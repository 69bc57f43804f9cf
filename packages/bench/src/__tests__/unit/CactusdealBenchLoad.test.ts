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
    name: 'fills in defaults',
    text: '[[class]]\nname = "a"\npath = "/a"\ncallsPerSecond = 1',
    answer: 'a GET',
  },
  {
    name: 'names every wrong key',
    text: '[[class]]\nname = ""\npath = "a"\ncallsPerSecond = 1',
    answer: 'class[0].name: found ""; class[0].path: found "a"',
  },
  { name: 'wants a class', text: '', answer: 'no [[class]] table' },
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
  it('is the same for the same seed, in order, at the rates wanted', () => {
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
  it('counts the time of a call from its planned time, though an earlier one blocks the process', async () => {
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
        return { label: 'ok', isGood: true };
      },
    });
    const [result] = mergeRecorded([recorded, recorded], 400).classes;
    assert.equal(result?.sent, result?.endings.ok);
    assert.ok((result?.latency.p90Ms ?? 0) > 50, 'the calls behind it waited');
  });

  it('counts a rejection as an ending of its own', async () => {
    const send = (): Promise<never> => Promise.reject(new TypeError('broken'));
    const recorded = await recordLoad({ classes, durationMs: 50, seed: 1, send });
    recorded.forEach(({ sent, good, endings }) =>
      assert.deepEqual([good, endings.broken], [0, sent]),
    );
  });
});
