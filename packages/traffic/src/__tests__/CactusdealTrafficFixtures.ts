import type { Quarantine } from '@cactusdeal/quarantine';
import { createServer, request as sendRequest, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Route, Snapshot } from '@cactusdeal/schema';
import { createSilentLog, getMonotonicMs } from '@cactusdeal/shared';
import { Registry } from 'prom-client';
import { Left, Right } from 'purify-ts';
import {
  type CallListener,
  type CallListenerOptions,
  type Claims,
  createFifoQueue,
  createTrafficMetrics,
  type Directory,
  type Gate,
  type LocalWorker,
  startCallListener,
} from '../index.js';
import { createNotRun } from '../CactusdealTrafficRefusal.js';

export const SERVICE = 'records';

export function buildRoute(overrides: Partial<Route> = {}): Route {
  return {
    service: SERVICE,
    method: '*',
    pathPrefix: '/records',
    rank: 'normal',
    class: 'lookups',
    deadlineMs: 5000,
    effect: 'idempotent',
    share: 0.2,
    worth: 1,
    maxBodyBytes: 32 * 1024 * 1024,
    ...overrides,
  };
}

export function buildSnapshot(overrides: Partial<Snapshot> = {}): Snapshot {
  return {
    version: 1,
    services: { [SERVICE]: { tenant: 'oviedo', weights: {}, queueLimit: 10 } },
    routes: {
      lookups: buildRoute(),
      approvals: buildRoute({
        pathPrefix: '/records/approvals',
        method: 'POST',
        effect: 'atMostOnce',
        class: 'approvals',
        rank: 'critical',
      }),
      notes: buildRoute({ pathPrefix: '/records/notes', maxBodyBytes: 1000 }),
    },
    drains: {},
    ...overrides,
  };
}

export const SETTINGS: CallListenerOptions['settings'] = {
  connectionsPerWorker: 110,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
  retryBudget: 0.1,
  drainMs: 10_000,
};

/** A quarantine that refuses nothing and records its notifications. */
export interface RecordingQuarantine extends Quarantine {
  /** For each crash, the number of calls that it interrupted. */
  readonly crashes: number[];
  readonly successes: string[];
}

export function createRecordingQuarantine(): RecordingQuarantine {
  const crashes: number[] = [];
  const successes: string[] = [];
  return {
    crashes,
    successes,
    getRemainingMs: () => 0,
    mergeNotice: () => false,
    hasSuspects: () => false,
    listNotices: () => [],
    recordCrash: (_, inFlight) => crashes.push(inFlight),
    recordSuccess: (fingerprint) => successes.push(fingerprint),
    recordPendingSuccess: (computeFingerprint) => successes.push(computeFingerprint()),
    list: () => [],
    close: () => {},
  };
}

/** In-memory claims: the first attempt with a key gets a ticket, later ones are refused as running. */
export function createMemoryClaims(): Claims & { readonly events: string[] } {
  const claimedKeys = new Set<string>();
  const events: string[] = [];
  return {
    events,
    claim: ({ key }) => {
      if (claimedKeys.has(key)) {
        return Promise.resolve(
          Left({ ...createNotRun('KeyClaimed', 'claimed'), outcome: 'running' }),
        );
      }
      claimedKeys.add(key);
      events.push(`claim ${key}`);
      return Promise.resolve(
        Right({
          complete: (status) => events.push(`complete ${key} ${status}`),
          abandon: async () => {
            claimedKeys.delete(key);
            events.push(`abandon ${key}`);
          },
        }),
      );
    },
    close: () => Promise.resolve(),
  };
}

/** A small upstream that records its requests. */
export interface TestUpstream {
  readonly address: string;
  readonly requests: string[];
  readonly server: Server;
  close(): Promise<void>;
}

export async function startUpstream(listener: RequestListener): Promise<TestUpstream> {
  const requests: string[] = [];
  const server = createServer((request, response) => {
    requests.push(`${request.method} ${request.url}`);
    listener(request, response);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    requests,
    server,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** The call listener of one daemon, with fakes for its queue, claims, quarantine and directory. */
export interface TestDaemon {
  readonly listener: CallListener;
  readonly gate: Gate;
  readonly quarantine: RecordingQuarantine;
  readonly claims: ReturnType<typeof createMemoryClaims>;
  readonly registry: Registry;
  worker: LocalWorker | undefined;
  snapshot: Snapshot;
  local: Gate[];
  remote: Gate[];
  /** Added to the daemon's clock, in milliseconds. */
  clockOffsetMs: number;
}

export interface TestDaemonOptions {
  readonly memberId: string;
  readonly upstream?: string;
  readonly slots?: number;
  readonly queueLimit?: number;
  readonly settings?: Partial<CallListenerOptions['settings']>;
  readonly random?: () => number;
}

export async function startTestDaemon(options: TestDaemonOptions): Promise<TestDaemon> {
  const slots = options.slots ?? 4;
  const registry = new Registry();
  const quarantine = createRecordingQuarantine();
  const claims = createMemoryClaims();
  const daemon: Pick<TestDaemon, 'worker' | 'snapshot' | 'local' | 'remote' | 'clockOffsetMs'> = {
    worker: undefined,
    snapshot: buildSnapshot(),
    local: [],
    remote: [],
    clockOffsetMs: 0,
  };
  const clock = (): number => getMonotonicMs() + daemon.clockOffsetMs;
  if (options.upstream !== undefined) {
    daemon.worker = {
      name: `worker-${options.memberId}`,
      address: options.upstream,
      services: [SERVICE],
      slots,
      state: 'ready',
    };
  }
  const directory: Directory = {
    findLocal: () => daemon.local,
    findRemote: () => daemon.remote,
  };
  const listener = await startCallListener({
    address: '127.0.0.1:0',
    dataCentre: 'west',
    memberId: options.memberId,
    getSnapshot: () => daemon.snapshot,
    directory,
    getLocalWorker: () => daemon.worker,
    queue: createFifoQueue({ slots, queueLimit: options.queueLimit ?? 10, clock }),
    claims,
    quarantine,
    settings: { ...SETTINGS, ...options.settings },
    metrics: createTrafficMetrics(registry),
    log: createSilentLog(),
    clock,
    random: options.random ?? (() => 0),
  });
  const gate: Gate = {
    memberId: options.memberId,
    worker: `worker-${options.memberId}`,
    dataCentre: 'west',
    address: listener.address,
    slots,
    readyAtMs: 0,
  };
  return Object.assign(daemon, { listener, gate, quarantine, claims, registry });
}

/** The response that a plain HTTP caller received. */
export interface TestResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: Buffer;
}

export interface TestCall {
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: Buffer | string;
}

/** Makes a call as a plain HTTP caller; rejects if the response is truncated. */
export function sendCall(
  address: string,
  path: string,
  call: TestCall = {},
): Promise<TestResponse> {
  return new Promise((resolve, reject) => {
    const request = sendRequest(
      `http://${address}${path}`,
      { method: call.method ?? 'GET', headers: call.headers ?? {}, agent: false },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks),
          }),
        );
      },
    );
    request.on('error', reject);
    request.end(call.body);
  });
}
