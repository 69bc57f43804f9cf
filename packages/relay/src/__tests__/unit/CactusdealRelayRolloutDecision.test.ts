import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type CountRow, findTimeBucket } from '../../CactusdealRelayRolloutCounts.js';
import {
  compareVersions,
  computeDecision,
  RolloutDecision,
  type DataCentreCounts,
} from '../../CactusdealRelayRolloutDecision.js';

interface RowOptions {
  readonly kind?: string;
  readonly group?: number;
  readonly failures?: number;
  /** Numbers of answers by service time in milliseconds. */
  readonly times?: Readonly<Record<number, number>>;
  readonly cutTimes?: Readonly<Record<number, number>>;
}

function buildRow(isTarget: boolean, responses: number, options: RowOptions = {}): CountRow {
  const { kind = 'k', group = 0, failures = 0, times = { 20: responses }, cutTimes = {} } = options;
  return {
    kind,
    isTarget,
    group,
    counts: { responses, failures, times: toBuckets(times), cutTimes: toBuckets(cutTimes) },
  };
}

function toBuckets(times: Readonly<Record<number, number>>): number[] {
  const buckets: number[] = [];
  Object.entries(times).forEach(([ms, count]) => {
    buckets[findTimeBucket(Number(ms))] = count;
  });
  return buckets;
}

const target = (responses: number, options?: RowOptions): CountRow =>
  buildRow(true, responses, options);
const others = (responses: number, options?: RowOptions): CountRow =>
  buildRow(false, responses, options);
const west = (...rows: CountRow[]): DataCentreCounts => ({ dataCentre: 'west', rows });
const east = (...rows: CountRow[]): DataCentreCounts => ({ dataCentre: 'east', rows });

const cases: readonly (readonly [
  name: string,
  counts: readonly DataCentreCounts[],
  fault: 'failures' | 'slowness' | undefined,
])[] = [
  ['nothing', [], undefined],
  ['sound answers', [west(others(500), target(40))], undefined],
  ['too few failures', [west(others(500), target(5, { failures: 4 }))], undefined],
  ['failures of a tenth', [west(others(500), target(90, { failures: 9 }))], 'failures'],
  [
    'failures of both versions',
    [west(others(500, { failures: 50 }), target(90, { failures: 9 }))],
    undefined,
  ],
  [
    'failures of both versions in one data centre only',
    [
      west(others(100, { failures: 50 }), target(40, { failures: 20 })),
      east(others(2_000), target(40)),
    ],
    undefined,
  ],
  [
    'one bad kind of several',
    [
      west(
        others(500),
        target(80),
        others(90, { kind: 'x' }),
        target(8, { kind: 'x', failures: 8 }),
      ),
    ],
    'failures',
  ],
  [
    'failures of one host out of three',
    [
      west(
        others(500),
        target(20, { failures: 15 }),
        target(20, { group: 1 }),
        target(20, { group: 2 }),
      ),
    ],
    undefined,
  ],
  [
    'many failures of one host out of three',
    [west(others(500), target(60, { failures: 45 }), target(20, { group: 1 }))],
    'failures',
  ],
  [
    'many failures of one host over several kinds',
    [
      west(
        ...['k', 'l', 'm'].flatMap((kind) => [
          others(500, { kind }),
          target(20, { kind, failures: 10 }),
          target(20, { kind, group: 1 }),
        ]),
      ),
    ],
    'failures',
  ],
  [
    'failures of two hosts in two data centres',
    [
      west(others(500), target(20, { failures: 6 })),
      east(others(500), target(20, { failures: 6 })),
    ],
    'failures',
  ],
  ['failures with nothing to compare with', [west(target(10, { failures: 8 }))], undefined],
  ['three times as slow', [west(others(500), target(30, { times: { 60: 30 } }))], 'slowness'],
  [
    'slow in a third of the answers',
    [west(others(500), target(60, { times: { 20: 40, 90: 20 } }))],
    'slowness',
  ],
  [
    'slow from some moment on',
    [west(others(900), target(200, { times: { 20: 160, 90: 40 } }))],
    'slowness',
  ],
  [
    'one and a half times as slow',
    [west(others(500), target(60, { times: { 32: 60 } }))],
    undefined,
  ],
  [
    'as spread as the others',
    [west(others(500, { times: { 10: 300, 80: 200 } }), target(60, { times: { 10: 36, 80: 24 } }))],
    undefined,
  ],
  [
    'no answer within the time of the callers',
    [west(others(500), target(0, { cutTimes: { 900: 12 } }))],
    'slowness',
  ],
  [
    'calls that were given up early',
    [west(others(500), target(20, { cutTimes: { 5: 20 } }))],
    undefined,
  ],
];

describe('the comparison of a new version with the old one', () => {
  cases.forEach(([name, counts, fault]) => {
    it(`finds ${fault ?? 'no fault'}: ${name}`, () => {
      const verdict = compareVersions(counts);
      assert.equal(verdict.type === 'bad' ? verdict.fault : undefined, fault);
    });
  });
});

const { Wait, Succeed, RollBack } = RolloutDecision;
const bad = {
  type: 'bad',
  fault: 'failures',
  kind: 'k',
  observed: 9,
  expected: 1,
  responses: 20,
} as const;
const sound = { type: 'sound' } as const;

const decisions = [
  { verdict: bad, responses: 20, remainingMs: 18_000, isSilent: false, decision: RollBack },
  { verdict: sound, responses: 500, remainingMs: 18_000, isSilent: false, decision: Wait },
  { verdict: sound, responses: 500, remainingMs: 4_900, isSilent: false, decision: Succeed },
  { verdict: sound, responses: 500, remainingMs: 4_900, isSilent: true, decision: Wait },
  { verdict: sound, responses: 500, remainingMs: 2_400, isSilent: true, decision: Succeed },
  { verdict: sound, responses: 12, remainingMs: 4_900, isSilent: false, decision: Wait },
  { verdict: sound, responses: 12, remainingMs: 2_400, isSilent: false, decision: Succeed },
  { verdict: sound, responses: 3, remainingMs: 2_400, isSilent: false, decision: Wait },
  { verdict: sound, responses: 3, remainingMs: 1_200, isSilent: false, decision: RollBack },
] as const;

describe('the decision on a rollout of 20 s', () => {
  decisions.forEach(({ verdict, responses, remainingMs, isSilent, decision }) => {
    const silent = isSilent ? ', a data centre silent' : '';
    it(`${decision}: ${verdict.type}, ${responses} responses, ${remainingMs} ms left${silent}`, () => {
      const input = { verdict, responses, remainingMs, durationMs: 20_000 };
      assert.equal(computeDecision({ ...input, hasSilentDataCentre: isSilent }), decision);
    });
  });
});
