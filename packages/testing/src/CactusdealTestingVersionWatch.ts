import { setMaxListeners } from 'node:events';
import { waitMs } from '@cactusdeal/shared';
import { fetchSnapshot, fetchStatus, isReady } from './CactusdealTestingAdmin.js';
import type { Host } from './CactusdealTestingClusterTypes.js';

const POLL_INTERVAL_MS = 40;

/** Polls the status and snapshot of every daemon and records violations of what always holds. */
export interface VersionWatch {
  /** Violations so far: a version that went back, or a route to a service missing in the snapshot. */
  getViolations(): readonly string[];
  /** Highest version that any daemon has reported; 0 before the first report. */
  getHighestVersion(): number;
  close(): Promise<void>;
}

/**
 * Starts polling. Counts a report only when the daemon was ready both before and after it, as a daemon
 * that has just started reports an empty snapshot, which is no violation while it serves no calls.
 */
export function startVersionWatch(hosts: readonly Host[]): VersionWatch {
  const stop = new AbortController();
  setMaxListeners(hosts.length + 1, stop.signal);
  const highest = new Map<string, number>();
  const violations: string[] = [];
  const tasks = hosts.map((host) => watchHost(host));
  return {
    getViolations: () => violations,
    getHighestVersion: () => Math.max(0, ...highest.values()),
    close: async () => {
      stop.abort();
      await Promise.all(tasks);
    },
  };

  async function watchHost(host: Host): Promise<void> {
    while (!stop.signal.aborted) {
      await checkHost(host).catch(() => undefined);
      await waitMs(POLL_INTERVAL_MS, stop.signal);
    }
  }

  async function checkHost(host: Host): Promise<void> {
    if (!(await isReady(host))) return;
    const { version } = await fetchStatus(host);
    const snapshot = await fetchSnapshot(host);
    if (!(await isReady(host))) return;
    [version, snapshot.version].forEach((seen) => recordVersion(host.id, seen));
    Object.entries(snapshot.routes)
      .filter(([, route]) => !(route.service in snapshot.services))
      .forEach(([name]) =>
        violations.push(
          `${host.id}: route ${name} refers to service ${snapshot.routes[name]?.service}, which version ${snapshot.version} lacks`,
        ),
      );
  }

  function recordVersion(id: string, version: number): void {
    const previous = highest.get(id) ?? 0;
    if (version < previous)
      violations.push(`${id}: version went back from ${previous} to ${version}`);
    highest.set(id, Math.max(previous, version));
  }
}
