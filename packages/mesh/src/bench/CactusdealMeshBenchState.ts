import type { LogEntry, Snapshot } from '@cactusdeal/schema';
import type { MeshState } from '../CactusdealMeshTypes.js';

/** A configuration that keeps only its version and recent entries, for benchmarks and tests. */
export interface CountingState extends MeshState {
  version: number;
}

const HASH = 'a'.repeat(64);

/** Creates a state at version 0 that keeps the last `kept` entries. */
export function createCountingState(
  kept: number,
  onVersion: (version: number) => void = () => {},
): CountingState {
  const entries: LogEntry[] = [];
  const state: CountingState = {
    version: 0,
    getVersion: () => state.version,
    getHeadVersion: () => state.version,
    getEntriesAfter: (version) => {
      const found = entries.filter((entry) => entry.version > version);
      return found.length === state.version - version ? found : undefined;
    },
    getSnapshotWithHash: () => ({ snapshot: createEmptySnapshot(state.version), hash: HASH }),
    getRejections: () => [],
    acceptEntry: (entry) => {
      if (entry.version !== state.version + 1) return false;
      state.version = entry.version;
      entries.push(entry);
      entries.splice(0, entries.length - kept);
      onVersion(entry.version);
      return true;
    },
    acceptSnapshot: (snapshot) => {
      if (snapshot.version <= state.version) return false;
      state.version = snapshot.version;
      entries.length = 0;
      return true;
    },
  };
  return state;
}

function createEmptySnapshot(version: number): Snapshot {
  return { version, services: {}, routes: {}, drains: {} };
}

/** Creates the entry that leads from `version - 1` to `version`: one service's weights. */
export function createCountedEntry(version: number): LogEntry {
  return {
    version,
    baseVersion: version - 1,
    planId: `plan-${version}`,
    operations: [
      {
        type: 'setService',
        name: 'paint-orders',
        service: { tenant: 'oviedo', weights: { centre: 1, west: 2 }, queueLimit: 64 },
      },
    ],
    hash: HASH,
    operator: 'operator',
    acceptedAtMs: 1_790_000_000_000,
  };
}
