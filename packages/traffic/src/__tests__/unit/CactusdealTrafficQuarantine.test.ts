import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createQuarantine, type SharedQuarantine } from '../../index.js';

interface Step {
  readonly do: (quarantine: SharedQuarantine) => void;
  readonly atMs?: number;
}

const crash = (fingerprint: string, atMs = 0, inFlight = 1): Step => ({
  do: (quarantine) => quarantine.recordCrash(fingerprint, inFlight),
  atMs,
});
const hear = (source: string, fingerprint: string, crashes: number): Step => ({
  do: (quarantine) => quarantine.mergeNotice(source, fingerprint, crashes),
});
const succeed = (fingerprint: string): Step => ({
  do: (quarantine) => quarantine.recordSuccess(fingerprint),
});

const cases: readonly {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly thenAtMs?: number;
  readonly held: readonly string[];
}[] = [
  { name: 'lets a request pass after one crash', steps: [crash('a')], held: [] },
  { name: 'keeps a request away after two', steps: [crash('a'), crash('a')], held: ['a'] },
  { name: 'adds crashes of other daemons', steps: [crash('a'), hear('x', 'a', 1)], held: ['a'] },
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
  { name: 'tells requests apart', steps: [crash('a'), crash('b')], held: [] },
  {
    name: 'forgets a suspicion on success',
    steps: [crash('a'), succeed('a'), crash('a')],
    held: [],
  },
  {
    name: 'forgets a suspicion after its time',
    steps: [crash('a'), crash('a', 100)],
    thenAtMs: 100,
    held: [],
  },
  {
    name: 'ends a quarantine after its time',
    steps: [crash('a'), crash('a')],
    thenAtMs: 200,
    held: [],
  },
  {
    name: 'keeps a request that shared the blame away for a shorter time',
    steps: [crash('a', 0, 4), crash('a', 0, 5), crash('b'), crash('b')],
    thenAtMs: 50,
    held: ['b'],
  },
  {
    name: 'keeps a request away again at the first crash after its quarantine',
    steps: [crash('a'), crash('a'), crash('a', 250)],
    thenAtMs: 251,
    held: ['a'],
  },
  {
    name: 'bounds its memory, dropping what was seen longest ago',
    steps: [crash('a'), crash('b'), crash('c'), crash('d'), crash('a')],
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
        suspicionMs: 100,
        quarantineMs: 200,
        leastQuarantineMs: 20,
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
