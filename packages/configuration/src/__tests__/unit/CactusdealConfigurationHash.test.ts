import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Operation, Snapshot } from '@cactusdeal/schema';
import fc from 'fast-check';
import { applyOperations, createEmptySnapshot, diffSnapshots, hashSnapshot } from '../../index.js';
import { buildService, operationArbitrary } from '../CactusdealConfigurationSamples.js';

const PROPERTY_RUNS = { seed: 20261204, numRuns: 300 };

const snapshotArbitrary = fc.array(operationArbitrary, { maxLength: 12 }).map(buildSnapshot);

describe('snapshot hash and diff', () => {
  it('computes operations that turn one snapshot into another', () => {
    fc.assert(
      fc.property(snapshotArbitrary, snapshotArbitrary, (from, to) => {
        const result = applyOperations(from, diffSnapshots(from, to), to.version).unsafeCoerce();
        assert.deepEqual(result, to);
        assert.deepEqual(diffSnapshots(to, result), []);
      }),
      PROPERTY_RUNS,
    );
  });

  it('hashes equal content alike, also with another key order and when derived from a base', () => {
    fc.assert(
      fc.property(snapshotArbitrary, snapshotArbitrary, (from, to) => {
        hashSnapshot(from);
        const derived = applyOperations(from, diffSnapshots(from, to), to.version).unsafeCoerce();
        assert.equal(hashSnapshot(derived), hashSnapshot(structuredClone(to)));
        assert.equal(hashSnapshot(swapKeyOrder(to)), hashSnapshot(to));
      }),
      PROPERTY_RUNS,
    );
  });

  it('hashes a thousand entries alike in reverse order of insertion', () => {
    const names = Array.from({ length: 1000 }, (_, index) => `service-${index}`);
    const build = (ordered: readonly string[]): Snapshot => ({
      ...createEmptySnapshot(),
      services: Object.fromEntries(ordered.map((name) => [name, buildService()])),
    });
    assert.equal(hashSnapshot(build(names)), hashSnapshot(build([...names].reverse())));
  });

  it('gives different hashes exactly when the content or the version differs', () => {
    fc.assert(
      fc.property(snapshotArbitrary, snapshotArbitrary, (left, right) => {
        const isSame = left.version === right.version && diffSnapshots(left, right).length === 0;
        assert.equal(hashSnapshot(left) === hashSnapshot(right), isSame);
      }),
      PROPERTY_RUNS,
    );
  });

  it('does not change the base when operations are applied', () => {
    fc.assert(
      fc.property(snapshotArbitrary, fc.array(operationArbitrary), (base, operations) => {
        const before = structuredClone(base);
        applyOperations(base, operations);
        assert.deepEqual(base, before);
      }),
      PROPERTY_RUNS,
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
