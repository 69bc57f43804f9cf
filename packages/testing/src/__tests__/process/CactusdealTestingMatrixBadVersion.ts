import { request } from 'undici';
import type { Cluster } from '../../index.js';

/** Route that only a bad version holds; its service does not exist. */
export const BAD_ROUTE = 'bad-route';

/**
 * Writes a log entry with a route to an absent service past the daemons, as a defect elsewhere
 * might. Answers the platform's HTTP status.
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
