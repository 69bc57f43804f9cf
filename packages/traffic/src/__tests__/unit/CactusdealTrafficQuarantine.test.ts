import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createQuarantine, type SharedQuarantine } from '../../index.js';

interface Step {
  readonly do: (quarantine: SharedQuarantine) => void;
  readonly atMs?: number;
}

const crash = (fingerprint: string, atMs: number, inFlight = 1): Step => ({
  do: (quarantine) => quarantine.recordCrash(fingerprint, inFlight),
  atMs,
});
const hear = (source: string, fingerprint: string, crashes: number): Step => ({
  do: (quarantine) => quarantine.mergeNotice(source, fingerprint, crashes),
});
const succeed = (fingerprint: string, atMs = 0): Step => ({
  do: (quarantine) => quarantine.recordSuccess(fingerprint),
  atMs,
});

const cases: readonly {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly thenAtMs?: number;
  readonly held: readonly string[];
}[] = [
  { name: 'lets a request pass after one crash', steps: [crash('a', 0)], held: [] },
  {
    name: 'keeps a request away after two',
    steps: [crash('a', 0), crash('a', 2_000)],
    held: ['a'],
  },
  {
    name: 'counts one crash that cut off several calls alike once',
    steps: [crash('a', 0), crash('a', 10), crash('a', 20)],
    held: [],
  },
  {
    name: 'trusts a request that succeeded a moment before, here',
    steps: [succeed('a'), crash('a', 0), crash('a', 2_000)],
    held: [],
  },
  {
    name: 'trusts a request that succeeded a moment before, when another daemon blames it',
    steps: [succeed('a'), hear('x', 'a', 2)],
    held: [],
  },
  {
    name: 'stops trusting a success after its time',
    steps: [succeed('a'), crash('a', 5_000), crash('a', 7_000)],
    held: ['a'],
  },
  { name: 'adds crashes of other daemons', steps: [crash('a', 0), hear('x', 'a', 1)], held: ['a'] },
  {
    name: 'counts a notice that arrives twice once',
    steps: [hear('x', 'a', 1), hear('x', 'a', 1)],
    held: [],
  },
  {
    name: 'keeps the higher count when an older notice comes late',
    steps: [hear('x', 'a', 2), hear('x', 'a', 1)],
    held: ['a'],
  },
  { name: 'tells requests apart', steps: [crash('a', 0), crash('b', 2_000)], held: [] },
  {
    name: 'forgets a suspicion on success',
    steps: [crash('a', 0), succeed('a', 100), crash('a', 6_000)],
    held: [],
  },
  {
    name: 'forgets a suspicion after its time',
    steps: [crash('a', 0), crash('a', 10_000)],
    held: [],
  },
  {
    name: 'ends a quarantine after its time',
    steps: [crash('a', 0), crash('a', 2_000)],
    thenAtMs: 22_000,
    held: [],
  },
  {
    name: 'keeps a request that shared the blame away for a shorter time',
    steps: [crash('a', 0, 4), crash('a', 2_000, 5), crash('b', 2_000), crash('b', 4_000)],
    thenAtMs: 7_001,
    held: ['b'],
  },
  {
    name: 'keeps a request away again at the first crash after its quarantine',
    steps: [crash('a', 0), crash('a', 2_000), crash('a', 25_000)],
    held: ['a'],
  },
  {
    name: 'bounds its memory, dropping what was seen longest ago',
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
        publish: (fingerprint) => published.push(fingerprint),
        suspicionMs: 10_000,
        quarantineMs: 20_000,
        minQuarantineMs: 1_000,
        successTtlMs: 5_000,
        capacity: 3,
      });
      steps.forEach((step) => {
        nowMs = step.atMs ?? nowMs;
        step.do(quarantine);
      });
      nowMs = thenAtMs ?? nowMs;
      const listed = quarantine.list().map(({ fingerprint }) => fingerprint);
      assert.deepEqual(listed, held);
      ['a', 'b', 'c', 'd'].forEach((fingerprint) => {
        const kind = quarantine.check(fingerprint)?.kind;
        assert.equal(kind, held.includes(fingerprint) ? 'Quarantined' : undefined);
      });
      quarantine.close();
    });
  });
});
