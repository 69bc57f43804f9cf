import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Operation, Snapshot } from '@cactusdeal/schema';
import fc from 'fast-check';
import { applyOperations, createEmptySnapshot, diffSnapshots, hashSnapshot } from '../../index.js';
import { buildService, operationArbitrary } from '../CactusdealConfigurationSamples.js';

const RUNS = { seed: 20261204, numRuns: 300 };

const snapshotArbitrary = fc.array(operationArbitrary, { maxLength: 12 }).map(buildSnapshot);

describe('hash and difference', () => {
  it('gives a difference that leads from one snapshot to the other', () => {
    fc.assert(
      fc.property(snapshotArbitrary, snapshotArbitrary, (from, to) => {
        const result = applyOperations(from, diffSnapshots(from, to), to.version).unsafeCoerce();
        assert.deepEqual(result, to);
        assert.deepEqual(diffSnapshots(to, result), []);
      }),
      RUNS,
    );
  });

  it('hashes by content, whatever the order of keys and however the snapshot was built', () => {
    fc.assert(
      fc.property(snapshotArbitrary, snapshotArbitrary, (from, to) => {
        hashSnapshot(from);
        const derived = applyOperations(from, diffSnapshots(from, to), to.version).unsafeCoerce();
        assert.equal(hashSnapshot(derived), hashSnapshot(structuredClone(to)));
        assert.equal(hashSnapshot(swapKeyOrder(to)), hashSnapshot(to));
      }),
      RUNS,
    );
  });

  it('hashes a thousand entries alike in any order of insertion', () => {
    const names = Array.from({ length: 1000 }, (_, index) => `service-${index}`);
    const build = (ordered: readonly string[]): Snapshot => ({
      ...createEmptySnapshot(),
      services: Object.fromEntries(ordered.map((name) => [name, buildService()])),
    });
    assert.equal(hashSnapshot(build(names)), hashSnapshot(build([...names].reverse())));
  });

  it('differs where the content or the version does', () => {
    fc.assert(
      fc.property(snapshotArbitrary, snapshotArbitrary, (left, right) => {
        const isSame = left.version === right.version && diffSnapshots(left, right).length === 0;
        assert.equal(hashSnapshot(left) === hashSnapshot(right), isSame);
      }),
      RUNS,
    );
  });

  it('leaves the base as it was', () => {
    fc.assert(
      fc.property(snapshotArbitrary, fc.array(operationArbitrary), (base, operations) => {
        const before = structuredClone(base);
        applyOperations(base, operations);
        assert.deepEqual(base, before);
      }),
      RUNS,
    );
  });
});

function buildSnapshot(operations: readonly Operation[]): Snapshot {
  return operations.reduce(
    (snapshot, operation) => applyOperations(snapshot, [operation]).orDefault(snapshot),
    createEmptySnapshot(),
  );
}

function swapKeyOrder<T>(value: T): T {
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value).reverse();
  return Object.fromEntries(entries.map(([key, item]) => [key, swapKeyOrder(item)])) as T;
}
