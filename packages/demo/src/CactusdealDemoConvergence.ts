import { waitMs } from '@cactusdeal/shared';
import { type Cluster, fetchStatus, type Host } from '@cactusdeal/testing';

const POLL_MS = 10;
const TIMEOUT_MS = 20_000;

/**
 * Waits until every running daemon reports the version or a later one. Returns the time since
 * `startMs` in milliseconds, or undefined if a daemon takes longer than 20 s.
 */
export async function measureConvergence(
  cluster: Cluster,
  version: number,
  startMs: number,
): Promise<number | undefined> {
  const hosts = cluster.hosts.filter((host) => host.getDaemon().isRunning());
  const reached = await Promise.all(hosts.map((host) => waitForVersion(host, version, startMs)));
  return reached.every((isReached) => isReached) ? performance.now() - startMs : undefined;
}

async function waitForVersion(host: Host, version: number, startMs: number): Promise<boolean> {
  while (performance.now() - startMs < TIMEOUT_MS) {
    const status = await fetchStatus(host).catch(() => undefined);
    if (status !== undefined && status.version >= version) return true;
    await waitMs(POLL_MS);
  }
  return false;
}

/** Mesh bytes that crossed the links between data centres since the start, in both directions. */
export function countControlBytes(cluster: Cluster): number {
  return cluster.links
    .filter(({ kind }) => kind === 'mesh')
    .map(({ proxy }) => proxy.getByteCounts())
    .reduce((sum, { forward, backward }) => sum + forward + backward, 0);
}
