import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberRecord } from '@cactusdeal/schema';
import { createSeededRandom, pickRandom } from '@cactusdeal/shared';
import fc from 'fast-check';
import { createMemberTable, isNewer, type MemberTable } from '../../CactusdealMeshMembers.js';
import { selectReaders } from '../../CactusdealMeshReaders.js';

const SEED = 42;
const RUNS = 300;
const STATES = ['alive', 'suspect', 'dead', 'left'] as const;
const IDS = ['a', 'b', 'c', 'd'] as const;

function createRecord(
  id: string,
  incarnation = 1,
  state: MemberRecord['state'] = 'alive',
): MemberRecord {
  return {
    id,
    dataCentre: 'east',
    incarnation,
    meshAddress: `10.0.0.1:${id.charCodeAt(0)}`,
    callsAddress: '10.0.0.1:2',
    adminAddress: '10.0.0.1:3',
    state,
  };
}

const anyRecords = fc.array(
  fc
    .tuple(fc.constantFrom(...IDS), fc.integer({ min: 1, max: 4 }), fc.constantFrom(...STATES))
    .map(([id, incarnation, state]) => createRecord(id, incarnation, state)),
  { minLength: 1, maxLength: 30 },
);

function createTable(id: string): MemberTable {
  return createMemberTable(createRecord(id), 1000, () => 0);
}

function listOthers(table: MemberTable): string[] {
  return table
    .list()
    .filter((record) => record.id !== table.getSelf().id)
    .map((record) => `${record.id} ${record.incarnation} ${record.state}`)
    .sort();
}

describe('member records', () => {
  it('converge to the latest in any order, with duplicates and with losses that are sent again', () => {
    fc.assert(
      fc.property(anyRecords, fc.integer(), (records, seed) => {
        const random = createSeededRandom(seed);
        const first = createTable('x');
        const second = createTable('x');
        records.forEach(first.merge);
        pickRandom(records, Math.ceil(records.length / 2), random).forEach(second.merge);
        pickRandom(records, records.length, random).forEach(second.merge);
        assert.deepEqual(listOthers(first), listOthers(second));
        first
          .list()
          .forEach((held) =>
            records
              .filter((record) => record.id === held.id)
              .forEach((record) => assert.ok(!isNewer(record, held))),
          );
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('never mark the own member as anything but alive, and never outdate its record', () => {
    fc.assert(
      fc.property(anyRecords, (records) => {
        const table = createTable('a');
        records.forEach((record) => {
          table.merge(record);
          const self = table.getSelf();
          assert.equal(self.state, 'alive');
          assert.ok(record.id !== 'a' || !isNewer(record, self));
        });
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('are deleted a bounded time after the member died', () => {
    let nowMs = 0;
    const table = createMemberTable(createRecord('x'), 1000, () => nowMs);
    table.merge(createRecord('a'));
    table.merge(createRecord('a', 1, 'dead'));
    const listReplicated = () => [...table.listVersions()].map((version) => version.key).sort();
    assert.deepEqual(listReplicated(), ['a', 'x']);
    nowMs = 500;
    assert.deepEqual(listReplicated(), ['x']);
    table.discardExpired();
    assert.equal(table.list().length, 2);
    nowMs = 1000;
    table.discardExpired();
    assert.equal(table.list().length, 1);
  });
});

describe('reader candidates', () => {
  it('are the same for any order of the records', () => {
    const ids = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 1, maxLength: 20 });
    fc.assert(
      fc.property(ids, fc.integer(), (names, seed) => {
        const records = names.map((name) => createRecord(name));
        const mixed = pickRandom(records, records.length, createSeededRandom(seed));
        const chosen = selectReaders(records, 2);
        assert.deepEqual(selectReaders(mixed, 2), chosen);
        assert.equal(chosen.length, Math.min(2, names.length));
        const rest = records.filter((record) => record !== chosen[0]);
        if (chosen[1] !== undefined) assert.equal(selectReaders(rest, 2)[0], chosen[1]);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
