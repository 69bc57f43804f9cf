import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { LogEntry, Operation, Snapshot } from '@cactusdeal/schema';
import {
  ApplyFailureKind,
  type ConfigurationHolder,
  createConfigurationHolder,
  hashSnapshot,
} from '../../index.js';
import {
  buildEntry,
  buildValidEntry,
  buildRoute,
  buildService,
} from '../CactusdealConfigurationSamples.js';

const ADD_RECORDS: Operation = { type: 'setService', name: 'records', service: buildService() };
const ADD_ROUTE: Operation = { type: 'setRoute', name: 'browse', route: buildRoute() };
const DANGLING_ROUTE: Operation = {
  type: 'setRoute',
  name: 'dangling',
  route: buildRoute({ service: 'absent', pathPrefix: '/dangling' }),
};

interface EntryCase {
  readonly name: string;
  readonly build: (base: Snapshot) => LogEntry;
  readonly kind: string;
  /** Whether the entry is recorded as a rejection and the head version rises to it. */
  readonly isRejected: boolean;
}

const ENTRY_CASES: readonly EntryCase[] = [
  {
    name: 'a route to a service that does not exist',
    build: (base) => buildValidEntry(base, [DANGLING_ROUTE], 2),
    kind: ApplyFailureKind.Invalid,
    isRejected: true,
  },
  {
    name: 'a removal of a service that a route refers to',
    build: (base) => buildValidEntry(base, [{ type: 'removeService', name: 'records' }], 2),
    kind: ApplyFailureKind.Invalid,
    isRejected: true,
  },
  {
    name: 'a removal of a route that does not exist',
    build: () =>
      buildEntry({
        version: 2,
        baseVersion: 1,
        operations: [{ type: 'removeRoute', name: 'constructor' }],
        hash: '0'.repeat(64),
      }),
    kind: ApplyFailureKind.Invalid,
    isRejected: true,
  },
  {
    name: "an entry whose hash differs from the result's",
    build: (base) => ({
      ...buildValidEntry(base, [{ type: 'removeRoute', name: 'browse' }], 2),
      hash: 'f'.repeat(64),
    }),
    kind: ApplyFailureKind.HashMismatch,
    isRejected: true,
  },
  {
    name: 'an entry whose base version is not in force',
    build: (base) => ({
      ...buildValidEntry(base, [{ type: 'removeRoute', name: 'browse' }], 2),
      baseVersion: 0,
    }),
    kind: ApplyFailureKind.Invalid,
    isRejected: true,
  },
  {
    name: 'an entry marked unreadable',
    build: () => ({
      ...buildEntry({ version: 2, baseVersion: 0, operations: [], hash: '0'.repeat(64) }),
      unreadable: 'no JSON',
    }),
    kind: ApplyFailureKind.Invalid,
    isRejected: true,
  },
  {
    name: 'an entry of the version in force',
    build: (base) => buildValidEntry(base, [{ type: 'removeRoute', name: 'browse' }], 1),
    kind: ApplyFailureKind.Older,
    isRejected: false,
  },
  {
    name: 'an entry that skips a version',
    build: (base) => buildValidEntry(base, [{ type: 'removeRoute', name: 'browse' }], 3),
    kind: ApplyFailureKind.Gap,
    isRejected: false,
  },
  {
    name: 'an entry with a field that the schema does not allow',
    build: (base) => ({ ...buildValidEntry(base, [ADD_RECORDS], 2), extra: 1 }) as LogEntry,
    kind: ApplyFailureKind.Invalid,
    isRejected: false,
  },
];

describe('configuration holder', () => {
  ENTRY_CASES.forEach(({ name, build, kind, isRejected }) => {
    it(`refuses ${name}, keeps the snapshot and accepts the next valid version`, () => {
      const holder = createStartedHolder();
      const before = structuredClone(holder.getSnapshot());
      const result = holder.applyEntry(build(holder.getSnapshot()));
      assert.equal((result.extract() as { kind?: string }).kind, kind);
      assert.deepEqual(holder.getSnapshot(), before);
      assert.equal(holder.getHeadVersion(), isRejected ? 2 : 1);
      assert.deepEqual(
        holder.getRejections().map(({ version, failure }) => [version, failure.kind]),
        isRejected ? [[2, kind]] : [],
      );
      const next = buildValidEntry(before, [ADD_RECORDS], holder.getHeadVersion() + 1);
      assert.ok(holder.applyEntry(next).isRight());
    });
  });

  it('calls observers synchronously, when the new snapshot is in force', () => {
    const holder = createConfigurationHolder();
    const seen: number[] = [];
    holder.observe(({ version }) => seen.push(version, holder.getSnapshot().version));
    holder.changes.forEach(({ version }) => seen.push(version));
    holder.applyEntry(buildValidEntry(holder.getSnapshot(), [ADD_RECORDS], 1));
    assert.deepEqual(seen.slice(0, 2), [1, 1]);
  });

  const SNAPSHOT_CASES = [
    {
      name: 'that does not match its hash',
      version: 5,
      hash: '0'.repeat(64),
      kind: 'VersionHashMismatch',
    },
    { name: 'of the version in force', version: 1, kind: ApplyFailureKind.Older },
    {
      name: 'with a route to an absent service',
      version: 5,
      operation: DANGLING_ROUTE,
      kind: 'VersionInvalid',
    },
    { name: 'of a higher version', version: 5, kind: undefined },
  ] as const;
  SNAPSHOT_CASES.forEach((testCase) => {
    it(`answers a whole snapshot ${testCase.name} with ${testCase.kind ?? 'a replacement'}`, () => {
      const holder = createStartedHolder();
      const offered = structuredClone({ ...holder.getSnapshot(), version: testCase.version });
      if ('operation' in testCase)
        offered.routes.dangling =
          testCase.operation.type === 'setRoute' ? testCase.operation.route : buildRoute();
      const hash = 'hash' in testCase ? testCase.hash : hashSnapshot(structuredClone(offered));
      const result = holder.replaceSnapshot(offered, hash);
      const { kind } = result.extract() as { kind?: string };
      assert.equal(kind, testCase.kind);
      assert.equal(holder.getSnapshot().version, kind === undefined ? 5 : 1);
    });
  });

  it('bounds the recent entries that it keeps for peers', () => {
    const holder = createConfigurationHolder();
    for (let version = 1; version <= 600; version += 1) {
      const service = buildService({ queueLimit: version });
      const operation: Operation = { type: 'setService', name: 'records', service };
      holder.applyEntry(buildValidEntry(holder.getSnapshot(), [operation], version));
    }
    assert.equal(holder.getEntriesAfter(0), undefined);
    assert.equal(holder.getEntriesAfter(595)?.length, 5);
    assert.deepEqual(holder.getEntriesAfter(600), []);
  });
});

function createStartedHolder(): ConfigurationHolder {
  const holder = createConfigurationHolder();
  holder.applyEntry(buildValidEntry(holder.getSnapshot(), [ADD_RECORDS, ADD_ROUTE], 1));
  assert.equal(holder.getSnapshot().version, 1);
  return holder;
}
