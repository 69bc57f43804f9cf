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
  buildGoodEntry,
  buildRoute,
  buildService,
} from '../CactusdealConfigurationSamples.js';

const ADD_RECORDS: Operation = { type: 'setService', name: 'records', service: buildService() };
const ADD_ROUTE: Operation = { type: 'setRoute', name: 'browse', route: buildRoute() };
const LOST_ROUTE: Operation = {
  type: 'setRoute',
  name: 'lost',
  route: buildRoute({ service: 'absent', pathPrefix: '/lost' }),
};

interface EntryCase {
  readonly name: string;
  readonly build: (base: Snapshot) => LogEntry;
  readonly kind: string;
  /** Whether the head rises past the entry although it is kept out. */
  readonly isRejected: boolean;
}

const ENTRY_CASES: readonly EntryCase[] = [
  {
    name: 'a route to a service that the result lacks',
    build: (base) => buildGoodEntry(base, [LOST_ROUTE], 2),
    kind: ApplyFailureKind.Invalid,
    isRejected: true,
  },
  {
    name: 'a removal of a service that a route names',
    build: (base) => buildGoodEntry(base, [{ type: 'removeService', name: 'records' }], 2),
    kind: ApplyFailureKind.Invalid,
    isRejected: true,
  },
  {
    name: 'a removal of what does not exist',
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
    name: "a hash that is not the result's",
    build: (base) => ({
      ...buildGoodEntry(base, [{ type: 'removeRoute', name: 'browse' }], 2),
      hash: 'f'.repeat(64),
    }),
    kind: ApplyFailureKind.HashMismatch,
    isRejected: true,
  },
  {
    name: 'a base that is not in force',
    build: (base) => ({
      ...buildGoodEntry(base, [{ type: 'removeRoute', name: 'browse' }], 2),
      baseVersion: 0,
    }),
    kind: ApplyFailureKind.Invalid,
    isRejected: true,
  },
  {
    name: 'a value that a reader could not read',
    build: () => ({
      ...buildEntry({ version: 2, baseVersion: 0, operations: [], hash: '0'.repeat(64) }),
      unreadable: 'no JSON',
    }),
    kind: ApplyFailureKind.Invalid,
    isRejected: true,
  },
  {
    name: 'a version that is in force',
    build: (base) => buildGoodEntry(base, [{ type: 'removeRoute', name: 'browse' }], 1),
    kind: ApplyFailureKind.Older,
    isRejected: false,
  },
  {
    name: 'a version beyond the next',
    build: (base) => buildGoodEntry(base, [{ type: 'removeRoute', name: 'browse' }], 3),
    kind: ApplyFailureKind.Gap,
    isRejected: false,
  },
  {
    name: 'what the schema does not know',
    build: (base) => ({ ...buildGoodEntry(base, [ADD_RECORDS], 2), extra: 1 }) as LogEntry,
    kind: ApplyFailureKind.Invalid,
    isRejected: false,
  },
];

describe('configuration holder', () => {
  ENTRY_CASES.forEach(({ name, build, kind, isRejected }) => {
    it(`keeps out ${name}, whole, and takes the next good version`, () => {
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
      const next = buildGoodEntry(before, [ADD_RECORDS], holder.getHeadVersion() + 1);
      assert.ok(holder.applyEntry(next).isRight());
    });
  });

  it('emits to observers in the turn of the swap, and to the stream', () => {
    const holder = createConfigurationHolder();
    const seen: number[] = [];
    holder.observe(({ version }) => seen.push(version, holder.getSnapshot().version));
    holder.changes.forEach(({ version }) => seen.push(version));
    holder.applyEntry(buildGoodEntry(holder.getSnapshot(), [ADD_RECORDS], 1));
    assert.deepEqual(seen.slice(0, 2), [1, 1]);
  });

  const SNAPSHOT_CASES = [
    { name: 'with another hash', version: 5, hash: '0'.repeat(64), kind: 'VersionHashMismatch' },
    { name: 'of the version in force', version: 1, kind: ApplyFailureKind.Older },
    { name: 'with a route to nothing', version: 5, operation: LOST_ROUTE, kind: 'VersionInvalid' },
    { name: 'of a higher version', version: 5, kind: undefined },
  ] as const;
  SNAPSHOT_CASES.forEach((testCase) => {
    it(`answers a whole snapshot ${testCase.name} with ${testCase.kind ?? 'a swap'}`, () => {
      const holder = createStartedHolder();
      const offered = structuredClone({ ...holder.getSnapshot(), version: testCase.version });
      if ('operation' in testCase)
        offered.routes.lost =
          testCase.operation.type === 'setRoute' ? testCase.operation.route : buildRoute();
      const hash = 'hash' in testCase ? testCase.hash : hashSnapshot(structuredClone(offered));
      const result = holder.replaceSnapshot(offered, hash);
      const { kind } = result.extract() as { kind?: string };
      assert.equal(kind, testCase.kind);
      assert.equal(holder.getSnapshot().version, kind === undefined ? 5 : 1);
    });
  });

  it('bounds the entries that it keeps for its peers', () => {
    const holder = createConfigurationHolder();
    for (let version = 1; version <= 600; version += 1) {
      const service = buildService({ queueLimit: version });
      const operation: Operation = { type: 'setService', name: 'records', service };
      holder.applyEntry(buildGoodEntry(holder.getSnapshot(), [operation], version));
    }
    assert.equal(holder.getEntriesAfter(0), undefined);
    assert.equal(holder.getEntriesAfter(595)?.length, 5);
    assert.deepEqual(holder.getEntriesAfter(600), []);
  });
});

function createStartedHolder(): ConfigurationHolder {
  const holder = createConfigurationHolder();
  holder.applyEntry(buildGoodEntry(holder.getSnapshot(), [ADD_RECORDS, ADD_ROUTE], 1));
  assert.equal(holder.getSnapshot().version, 1);
  return holder;
}
