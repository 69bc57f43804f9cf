import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { LogEntry, Snapshot } from '@cactusdeal/schema';
import fc from 'fast-check';
import { createConfigurationHolder, hashSnapshot, validateSnapshot } from '../../index.js';
import { logArbitrary } from '../CactusdealConfigurationSamples.js';

const PROPERTY_RUNS = { seed: 20261204, numRuns: 300 };

/**
 * A log and a delivery of its entries with losses, repetitions and reordering. At the step
 * `snapshotAt`, a whole snapshot is delivered in place of an entry.
 */
const deliveryArbitrary = logArbitrary.chain((entries) =>
  fc.record({
    entries: fc.constant(entries),
    order: fc.array(fc.nat({ max: entries.length - 1 }), { maxLength: 40 }),
    snapshotAt: fc.option(fc.nat({ max: entries.length - 1 })),
  }),
);

describe('versions in force', () => {
  it('only rise, are never partial and agree with the log in the end, under any delivery', () => {
    fc.assert(
      fc.property(deliveryArbitrary, ({ entries, order, snapshotAt }) => {
        const inForce = listSnapshotsInForce(entries);
        const holder = createConfigurationHolder();
        const seen: Snapshot[] = [];
        holder.observe((snapshot) => seen.push(snapshot));
        order.forEach((index, step) => {
          const before = holder.getSnapshot().version;
          if (step === snapshotAt) sendSnapshot(holder, inForce, index);
          else holder.applyEntry(entries[index] as LogEntry);
          assert.ok(holder.getSnapshot().version >= before);
          assertInForce(holder.getSnapshot(), inForce);
        });
        entries.forEach((entry) => holder.applyEntry(entry));
        const last = inForce.at(-1) as Snapshot;
        assert.equal(holder.getHash(), hashSnapshot(last));
        assert.equal(holder.getHeadVersion(), entries.length);
        const versions = seen.map(({ version }) => version);
        assert.deepEqual(
          versions,
          [...new Set(versions)].sort((left, right) => left - right),
        );
      }),
      PROPERTY_RUNS,
    );
  });

  it("are the same from a peer's recent entries as from the log", () => {
    fc.assert(
      fc.property(logArbitrary, fc.nat({ max: 13 }), (entries, lost) => {
        const peer = createConfigurationHolder();
        const holder = createConfigurationHolder();
        entries.forEach((entry) => peer.applyEntry(entry));
        entries.slice(0, lost).forEach((entry) => holder.applyEntry(entry));
        peer.getEntriesAfter(holder.getHeadVersion())?.forEach((entry) => holder.applyEntry(entry));
        assert.equal(holder.getHash(), peer.getHash());
        assert.equal(holder.getHeadVersion(), peer.getHeadVersion());
      }),
      PROPERTY_RUNS,
    );
  });
});

/** Lists the snapshots that come into force, in order, when the log is applied without losses. */
function listSnapshotsInForce(entries: readonly LogEntry[]): Snapshot[] {
  const holder = createConfigurationHolder();
  const snapshots = [holder.getSnapshot()];
  holder.observe((snapshot) => snapshots.push(snapshot));
  entries.forEach((entry) => holder.applyEntry(entry));
  return snapshots;
}

function sendSnapshot(
  holder: ReturnType<typeof createConfigurationHolder>,
  inForce: readonly Snapshot[],
  index: number,
): void {
  const offered = inForce[index % inForce.length] as Snapshot;
  holder.replaceSnapshot(structuredClone(offered), hashSnapshot(offered));
}

/** Asserts that the snapshot is one that the log gives at its version, and that it is valid. */
function assertInForce(snapshot: Snapshot, inForce: readonly Snapshot[]): void {
  const expected = inForce.find(({ version }) => version === snapshot.version);
  assert.deepEqual(structuredClone(snapshot), structuredClone(expected));
  assert.deepEqual(validateSnapshot(snapshot), []);
}
