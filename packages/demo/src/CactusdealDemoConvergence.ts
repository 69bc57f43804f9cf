import { waitMs } from '@cactusdeal/shared';
import { type Cluster, fetchStatus, type Host } from '@cactusdeal/testing';

const POLL_MS = 10;
const LIMIT_MS = 20_000;

/**
 * Waits until every daemon that runs holds the version; answers the time since `startMs`, in
 * milliseconds, undefined when some daemon took longer than 20 s.
 */
export async function measureConvergence(
  cluster: Cluster,
  version: number,
  startMs: number,
): Promise<number | undefined> {
  const hosts = cluster.hosts.filter((host) => host.getDaemon().isRunning());
  const held = await Promise.all(hosts.map((host) => waitVersion(host, version, startMs)));
  return held.every((isHeld) => isHeld) ? performance.now() - startMs : undefined;
}

async function waitVersion(host: Host, version: number, startMs: number): Promise<boolean> {
  while (performance.now() - startMs < LIMIT_MS) {
    const status = await fetchStatus(host).catch(() => undefined);
    if (status !== undefined && status.version >= version) return true;
    await waitMs(POLL_MS);
  }
  return false;
}

/** Bytes that crossed links between data centres for control so far, in both directions. */
export function countControlBytes(cluster: Cluster): number {
  return cluster.links
    .filter(({ kind }) => kind === 'mesh')
    .map(({ proxy }) => proxy.getByteCounts())
    .reduce((sum, { forward, backward }) => sum + forward + backward, 0);
}
