import { request } from 'undici';
import type { Cluster } from '../../index.js';

/** Name of the route in a bad version, which refers to a service that does not exist. */
export const BAD_ROUTE = 'bad-route';

/**
 * Writes a log entry with a route to a missing service directly to the platform, without the
 * validation of the daemons, as a defective program might. Returns the platform's HTTP status.
 */
export async function writeBadVersion(cluster: Cluster, version: number): Promise<number> {
  const key = encodeURIComponent(`log/${String(version).padStart(12, '0')}`);
  const { statusCode, body } = await request(`${cluster.platform.url}/v1/kv/${key}`, {
    method: 'PUT',
    body: JSON.stringify(buildBadEntry(version)),
  });
  await body.dump();
  return statusCode;
}

function buildBadEntry(version: number): unknown {
  const route = {
    ...{ service: 'absent', method: 'GET', pathPrefix: '/bad', rank: 'low', class: 'bad' },
    ...{ deadlineMs: 1000, effect: 'idempotent', share: 0, worth: 1, maxBodyBytes: 0 },
  };
  return {
    ...{ version, baseVersion: version - 1, planId: `bad-${version}`, hash: '0'.repeat(64) },
    operations: [{ type: 'setRoute', name: BAD_ROUTE, route }],
    ...{ operator: 'nobody', acceptedAtMs: 1 },
  };
}
