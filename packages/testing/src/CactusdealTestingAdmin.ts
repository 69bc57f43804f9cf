import type { Intent, Plan, Snapshot } from '@cactusdeal/schema';
import { FailureError } from '@cactusdeal/shared';
import { request } from 'undici';
import type { Host } from './CactusdealTestingClusterTypes.js';

const REQUEST_TIMEOUT_MS = 15_000;

/** Status and JSON body of a response from a daemon's admin listener. */
export interface AdminResponse {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Fields of the body of `GET /v1/status` that the tests use. */
export interface DaemonStatus {
  /** Version of the configuration in force in this daemon. */
  readonly version: number;
  /** Highest version that the daemon has seen, in force or rejected. */
  readonly headVersion: number;
  /** Versions that the daemon refused to apply. */
  readonly rejections: readonly { readonly version: number }[];
  /** Whether this daemon reads the platform on behalf of its data centre. */
  readonly isReader: boolean;
}

type AdminHost = Pick<Host, 'id' | 'adminAddress'>;

/**
 * Sends a request to a daemon's admin listener. Rejects when the daemon cannot be reached, does not
 * respond in time or responds with something other than JSON.
 */
export async function sendAdmin(
  host: AdminHost,
  method: 'GET' | 'POST' | 'PUT' | 'DELETE',
  path: string,
  body?: unknown,
): Promise<AdminResponse> {
  const response = await request(`http://${host.adminAddress}${path}`, {
    method,
    headersTimeout: REQUEST_TIMEOUT_MS,
    bodyTimeout: REQUEST_TIMEOUT_MS,
    headers: { 'content-type': 'application/json' },
    body: body === undefined ? null : JSON.stringify(body),
  });
  return {
    status: response.statusCode,
    body: (await response.body.json()) as AdminResponse['body'],
  };
}

/** Whether every daemon reports that it is ready for calls. */
export async function isClusterReady(hosts: readonly AdminHost[]): Promise<boolean> {
  const readiness = await Promise.all(hosts.map((host) => isReady(host)));
  return readiness.every((isHostReady) => isHostReady);
}

/** Whether the daemon reports that it is ready for calls; false also when it cannot be reached. */
export async function isReady(host: AdminHost): Promise<boolean> {
  const response = await sendAdmin(host, 'GET', '/readyz').catch(() => undefined);
  return response?.status === 200;
}

export async function fetchStatus(host: AdminHost): Promise<DaemonStatus> {
  const { body } = await sendAdmin(host, 'GET', '/v1/status');
  return body as unknown as DaemonStatus;
}

export async function fetchSnapshot(host: AdminHost): Promise<Snapshot> {
  const { body } = await sendAdmin(host, 'GET', '/v1/snapshot');
  return body as unknown as Snapshot;
}

/** Asks a daemon to plan an intent. A refusal is returned as a response, not thrown. */
export function sendIntent(host: AdminHost, intent: Intent, operator: string) {
  return sendAdmin(host, 'POST', '/v1/plans', { operator, intent });
}

/** Confirms a plan through a daemon. A refusal is returned as a response, not thrown. */
export function confirmPlan(host: AdminHost, planId: string, operator: string) {
  return sendAdmin(host, 'POST', `/v1/plans/${encodeURIComponent(planId)}/confirm`, { operator });
}

/**
 * Plans an intent and confirms the plan through one daemon. Returns the version that the confirmed
 * change created.
 *
 * @throws FailureError of kind `IntentRefused` when the daemon refuses to plan or to confirm.
 */
export async function acceptIntent(host: AdminHost, intent: Intent): Promise<number> {
  const planResponse = await sendIntent(host, intent, 'tester');
  assertStatus(planResponse, 201);
  const { id } = planResponse.body as unknown as Plan;
  const confirmResponse = await confirmPlan(host, id, 'tester');
  assertStatus(confirmResponse, 200);
  return Number(confirmResponse.body.version);
}

function assertStatus(response: AdminResponse, expected: number): void {
  if (response.status === expected) return;
  const message = `expected status ${expected}, got ${response.status}: ${JSON.stringify(response.body)}`;
  throw new FailureError({ kind: 'IntentRefused', message });
}
