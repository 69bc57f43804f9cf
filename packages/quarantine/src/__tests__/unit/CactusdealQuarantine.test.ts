import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createQuarantine, type Quarantine } from '../../index.js';

interface Step {
  readonly run: (quarantine: Quarantine) => void;
  readonly atMs?: number;
}

const crash = (fingerprint: string, atMs: number, inFlight = 1): Step => ({
  run: (quarantine) => quarantine.recordCrash(fingerprint, inFlight),
  atMs,
});
const report = (source: string, fingerprint: string, crashes: number, ageMs = 0): Step => ({
  run: (quarantine) => {
    quarantine.mergeNotice({ source, fingerprint, crashes, inFlight: 1, ageMs });
  },
});
const succeed = (fingerprint: string, atMs = 0): Step => ({
  run: (quarantine) => quarantine.recordSuccess(fingerprint),
  atMs,
});

const succeedUncomputed = (fingerprint: string, atMs = 0): Step => ({
  run: (quarantine) => quarantine.recordPendingSuccess(() => fingerprint),
  atMs,
});

const cases: readonly {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly thenAtMs?: number;
  readonly held: readonly string[];
}[] = [
  { name: 'admits a request after one crash', steps: [crash('a', 0)], held: [] },
  {
    name: 'quarantines a request after two crashes',
    steps: [crash('a', 0), crash('a', 2_000)],
    held: ['a'],
  },
  {
    name: 'counts several calls of a fingerprint that one crash interrupted as one crash',
    steps: [crash('a', 0), crash('a', 10), crash('a', 20)],
    held: [],
  },
  {
    name: 'ignores own crashes of a request that succeeded recently',
    steps: [succeed('a'), crash('a', 0), crash('a', 2_000)],
    held: [],
  },
  {
    name: 'ignores reported crashes of a request that succeeded recently',
    steps: [succeed('a'), report('x', 'a', 2)],
    held: [],
  },
  {
    name: 'counts crashes again after the success TTL',
    steps: [succeed('a'), crash('a', 5_000), crash('a', 7_000)],
    held: ['a'],
  },
  {
    name: 'adds the crashes that other daemons report',
    steps: [crash('a', 0), report('x', 'a', 1)],
    held: ['a'],
  },
  {
    name: 'counts a notice that arrives twice only once',
    steps: [report('x', 'a', 1), report('x', 'a', 1)],
    held: [],
  },
  {
    name: 'keeps the higher count when an older notice arrives late',
    steps: [report('x', 'a', 2), report('x', 'a', 1)],
    held: ['a'],
  },
  {
    name: 'holds a request that crashed long ago for the rest of the time',
    steps: [report('x', 'a', 2, 15_000), report('x', 'b', 2, 5_000)],
    thenAtMs: 6_000,
    held: ['b'],
  },
  { name: 'counts no notice of its own', steps: [report('own', 'a', 2)], held: [] },
  {
    name: 'adds what it counted before it started anew',
    steps: [crash('a', 0), report('own before', 'a', 1)],
    held: ['a'],
  },
  { name: 'counts crashes per fingerprint', steps: [crash('a', 0), crash('b', 2_000)], held: [] },
  {
    name: 'clears a suspicion on success',
    steps: [crash('a', 0), succeed('a', 100), crash('a', 6_000)],
    held: [],
  },
  {
    name: 'ignores crashes after a recent success without a fingerprint yet',
    steps: [succeedUncomputed('a'), crash('a', 0), crash('a', 2_000)],
    held: [],
  },
  {
    name: 'ignores reports after a recent success without a fingerprint yet',
    steps: [succeedUncomputed('a'), report('x', 'a', 2)],
    held: [],
  },
  {
    name: 'counts the time of a success without a fingerprint from the success',
    steps: [
      succeedUncomputed('a'),
      crash('b', 4_000),
      crash('a', 4_500),
      crash('a', 5_500),
      crash('a', 7_000),
    ],
    held: ['a'],
  },
  {
    name: 'clears a suspicion on success without a fingerprint yet',
    steps: [crash('a', 0), succeedUncomputed('a', 100), crash('a', 6_000)],
    held: [],
  },
  {
    name: 'forgets a suspicion after the suspicion time',
    steps: [crash('a', 0), crash('a', 10_000)],
    held: [],
  },
  {
    name: 'ends a quarantine after the quarantine time',
    steps: [crash('a', 0), crash('a', 2_000)],
    thenAtMs: 22_000,
    held: [],
  },
  {
    name: 'quarantines a request for a shorter time if other calls were in flight',
    steps: [crash('a', 0, 4), crash('a', 2_000, 5), crash('b', 2_000), crash('b', 4_000)],
    thenAtMs: 7_001,
    held: ['b'],
  },
  {
    name: 'quarantines a request again at the first crash after its quarantine',
    steps: [crash('a', 0), crash('a', 2_000), crash('a', 25_000)],
    held: ['a'],
  },
  {
    name: 'bounds its memory by evicting the least recently updated fingerprint',
    steps: ['a', 'b', 'c', 'd', 'a'].map((name, index) => crash(name, index * 2_000)),
    held: [],
  },
];

describe('createQuarantine', () => {
  cases.forEach(({ name, steps, thenAtMs, held }) => {
    it(name, () => {
      let nowMs = 0;
      const published: string[] = [];
      const quarantine = createQuarantine({
        clock: () => nowMs,
        source: 'own',
        publish: ({ fingerprint }) => published.push(fingerprint),
        suspicionMs: 10_000,
        quarantineMs: 20_000,
        minQuarantineMs: 1_000,
        successTtlMs: 5_000,
        capacity: 3,
      });
      steps.forEach((step) => {
        nowMs = step.atMs ?? nowMs;
        step.run(quarantine);
      });
      nowMs = thenAtMs ?? nowMs;
      const listed = quarantine.list().map(({ fingerprint }) => fingerprint);
      assert.deepEqual(listed, held);
      ['a', 'b', 'c', 'd'].forEach((fingerprint) => {
        const isHeld = quarantine.getRemainingMs(fingerprint) > 0;
        assert.equal(isHeld, held.includes(fingerprint));
      });
      const other = createQuarantine({ clock: () => nowMs, source: 'other', publish: () => {} });
      quarantine.listNotices().forEach((notice) => other.mergeNotice(notice));
      assert.deepEqual(
        other.list().map(({ fingerprint }) => fingerprint),
        held,
      );
      quarantine.close();
    });
  });
});
