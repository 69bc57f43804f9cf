import type { ConfigurationHolder } from '@cactusdeal/configuration';
import type { MeshState } from '@cactusdeal/mesh';

/**
 * Adapts the configuration holder to the interface through which the mesh spreads and surveys
 * versions.
 */
export function createMeshState(options: {
  readonly holder: ConfigurationHolder;
  readonly getMemberId: () => string;
}): MeshState {
  const { holder, getMemberId } = options;
  return {
    getVersion: () => holder.getSnapshot().version,
    getHeadVersion: () => holder.getHeadVersion(),
    getEntriesAfter: (version) => holder.getEntriesAfter(version),
    getSnapshotWithHash: () => ({ snapshot: holder.getSnapshot(), hash: holder.getHash() }),
    getRejections: () =>
      holder.getRejections().map(({ version, failure }) => ({
        memberId: getMemberId(),
        version,
        kind: failure.kind,
        message: failure.message,
      })),
    acceptEntry: (entry) => {
      const before = holder.getHeadVersion();
      holder.applyEntry(entry);
      return holder.getHeadVersion() > before;
    },
    acceptSnapshot: (snapshot, hash) => holder.replaceSnapshot(snapshot, hash).isRight(),
  };
}
