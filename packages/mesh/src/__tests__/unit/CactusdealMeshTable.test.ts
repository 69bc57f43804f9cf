import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ItemVersion } from '@cactusdeal/schema';
import fc from 'fast-check';
import type { MeshMessage } from '../../CactusdealMeshMessages.js';
import type { RemoteEndpoint } from '../../CactusdealMeshPeer.js';
import {
  computeTableHash,
  computeVersion,
  isLater,
  type ReplicatedTable,
} from '../../CactusdealMeshTable.js';
import {
  answerHashes,
  answerItems,
  answerItemVersions,
  sendBucketHashes,
} from '../../CactusdealMeshTableSync.js';

const SEED = 43;
const CUTOFF_MS = 100;

interface Item {
  readonly key: string;
  readonly stamp: number;
}

function createTable(initial: readonly Item[]): ReplicatedTable {
  const items = new Map<string, Item>();
  const isNewerThanHeld = (version: ItemVersion) => {
    const known = items.get(version.key);
    return known === undefined || isLater(version, { stamp: known.stamp, order: 0 });
  };
  const mergeItems = (more: readonly unknown[]) =>
    (more as readonly Item[]).forEach((item) => {
      if (isNewerThanHeld({ ...item, order: 0 })) items.set(item.key, item);
    });
  mergeItems(initial);
  return {
    name: 'members',
    listVersions: () => [...items.values()].map(({ key, stamp }) => computeVersion(key, stamp, 0)),
    isNewerThanHeld,
    getItem: (key) => items.get(key),
    mergeItems,
  };
}

/**
 * Runs anti-entropy between two tables; returns the number of messages sent, lost ones included.
 */
function compareTables(
  first: ReplicatedTable,
  second: ReplicatedTable,
  isLost: () => boolean,
): number {
  let sent = 0;
  const queue: (() => void)[] = [];
  const toFirst = createCorrespondent(first, () => toSecond);
  const toSecond: RemoteEndpoint = createCorrespondent(second, () => toFirst);

  function createCorrespondent(
    table: ReplicatedTable,
    getAnswerer: () => RemoteEndpoint,
  ): RemoteEndpoint {
    return {
      id: 'other',
      send: (message) => {
        sent += 1;
        if (!isLost()) queue.push(() => answerMessage(table, getAnswerer(), message));
      },
    };
  }

  sendBucketHashes(toSecond, first, CUTOFF_MS);
  for (let next = queue.shift(); next !== undefined; next = queue.shift()) next();
  return sent;
}

function answerMessage(table: ReplicatedTable, peer: RemoteEndpoint, message: MeshMessage): void {
  if (message.type === 'bucket-hashes') answerHashes(peer, table, message);
  if (message.type === 'bucket-items') answerItemVersions(peer, table, message);
  if (message.type === 'items') answerItems(peer, table, message);
}

const anyItems = fc.array(
  fc.record({
    key: fc.integer({ min: 0, max: 400 }).map((number) => `key-${number}`),
    stamp: fc.integer({ min: 0, max: 5 }),
  }),
  { maxLength: 300 },
);

describe('comparison of two tables', () => {
  it('makes them equal in one pass of at most four messages', () => {
    fc.assert(
      fc.property(anyItems, anyItems, (ours, theirs) => {
        const first = createTable(ours);
        const second = createTable(theirs);
        assert.ok(compareTables(first, second, () => false) <= 4);
        assert.equal(computeTableHash(first, CUTOFF_MS), computeTableHash(second, CUTOFF_MS));
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  it('makes them equal in a later pass when messages were lost', () => {
    const losses = fc.array(fc.boolean(), { maxLength: 12 });
    fc.assert(
      fc.property(anyItems, anyItems, losses, (ours, theirs, lost) => {
        const first = createTable(ours);
        const second = createTable(theirs);
        const isLost = () => lost.pop() ?? false;
        while (lost.length > 0) compareTables(first, second, isLost);
        compareTables(first, second, isLost);
        assert.equal(computeTableHash(first, CUTOFF_MS), computeTableHash(second, CUTOFF_MS));
      }),
      { seed: SEED, numRuns: 100 },
    );
  });
});
