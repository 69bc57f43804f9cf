import { setMaxListeners } from 'node:events';
import { waitMs } from '@cactusdeal/shared';
import { fetchSnapshot, fetchStatus, isReady } from './CactusdealTestingAdmin.js';
import type { Host } from './CactusdealTestingClusterTypes.js';

const POLL_INTERVAL_MS = 40;

/** Polls what every daemon reports and keeps what should never be. */
export interface VersionWatch {
  /** Breaches so far: a version that fell, or a route to a service that the snapshot lacks. */
  getBreaches(): readonly string[];
  getHighestVersion(): number;
  close(): Promise<void>;
}

/**
 * Starts polling. A daemon counts while it says that it is ready, before and after the read, so that
 * one which just started with nothing and serves nobody is no breach.
 */
export function startVersionWatch(hosts: readonly Host[]): VersionWatch {
  const stop = new AbortController();
  setMaxListeners(hosts.length + 1, stop.signal);
  const highest = new Map<string, number>();
  const violations: string[] = [];
  const tasks = hosts.map((host) => watchHost(host));
  return {
    getBreaches: () => violations,
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
      .forEach(([name]) => violations.push(`${host.id}: route ${name} without its service`));
  }

  function recordVersion(id: string, version: number): void {
    const previous = highest.get(id) ?? 0;
    if (version < previous) violations.push(`${id} went from version ${previous} to ${version}`);
    highest.set(id, Math.max(previous, version));
  }
}
