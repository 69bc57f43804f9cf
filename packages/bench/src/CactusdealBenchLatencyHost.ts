import { createQuarantine } from '@cactusdeal/quarantine';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Snapshot } from '@cactusdeal/schema';
import { createSilentLog, getMonotonicMs } from '@cactusdeal/shared';
import {
  type Claims,
  createGateQueue,
  createTrafficMetrics,
  type Gate,
  startCallListener,
} from '@cactusdeal/traffic';
import { Registry } from 'prom-client';
import { Pool } from 'undici';

/**
 * Entry point of a host process of the latency bench: an upstream, a bare relay, a gate or an
 * entry.
 */

/** First message that the bench sends to a host process. */
export interface LatencyHostSpec {
  readonly memberId: string;
  /**
   * Address of the upstream that this process relays to or is the gate of; absent in an entry and
   * in the upstream.
   */
  readonly upstream?: string;
  /** Gates that this process may send calls to. */
  readonly gates: readonly Gate[];
}

/** Slots of the upstream, enough that no call of the bench waits for one. */
export const LATENCY_SLOTS = 64;
export const LATENCY_SERVICE = 'records';

const ANSWER_BODY = Buffer.alloc(256, 'x');
const DEADLINE_MS = 5000;

/** Creates the snapshot that the bench uses: one service with one idempotent route. */
export function createLatencySnapshot(): Snapshot {
  return {
    version: 1,
    services: { [LATENCY_SERVICE]: { tenant: 'oviedo', weights: {}, queueLimit: 100 } },
    routes: {
      lookups: {
        service: LATENCY_SERVICE,
        method: '*',
        pathPrefix: '/records',
        rank: 'normal',
        class: 'lookups',
        deadlineMs: DEADLINE_MS,
        effect: 'idempotent',
        share: 0.5,
        worth: 1,
        maxBodyBytes: 65_536,
      },
    },
    drains: {},
  };
}

/** Claims that are never granted; the bench sends no call that needs one. */
const UNUSED_CLAIMS: Claims = {
  claim: () => new Promise(() => {}),
  close: () => Promise.resolve(),
};

function startUpstream(): Promise<string> {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(200, { 'content-length': ANSWER_BODY.length });
    response.end(ANSWER_BODY);
  });
  return listenOnLoopback(server);
}

async function listenOnLoopback(server: Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function startDaemon(spec: LatencyHostSpec): Promise<string> {
  const snapshot = createLatencySnapshot();
  const worker =
    spec.upstream === undefined
      ? undefined
      : {
          name: `worker-${spec.memberId}`,
          address: spec.upstream,
          services: [LATENCY_SERVICE],
          slots: LATENCY_SLOTS,
          state: 'ready' as const,
        };
  let { gates } = spec;
  const listener = await startCallListener({
    address: '127.0.0.1:0',
    dataCentre: 'west',
    memberId: spec.memberId,
    getSnapshot: () => snapshot,
    directory: { findLocal: () => gates, findRemote: () => [] },
    getLocalWorker: () => worker,
    queue: createGateQueue({
      slots: LATENCY_SLOTS,
      getQueueLimit: () => 100,
      clock: getMonotonicMs,
    }),
    claims: UNUSED_CLAIMS,
    quarantine: createQuarantine({ clock: Date.now, source: 'host', publish: () => {} }),
    settings: {
      connectionsPerWorker: 110,
      headerTimeoutMs: 10_000,
      idleTimeoutMs: 15_000,
      retryBudget: 0.1,
      drainMs: 1000,
    },
    metrics: createTrafficMetrics(new Registry()),
    log: createSilentLog(),
    clock: getMonotonicMs,
    random: Math.random,
  });
  if (worker !== undefined) gates = [buildGate(spec.memberId, worker.name, listener.address)];
  return listener.address;
}

/** Builds the record under which the directory lists a gate. */
export function buildGate(memberId: string, worker: string, address: string): Gate {
  const slots = LATENCY_SLOTS;
  return { memberId, worker, dataCentre: 'west', address, slots, readyAtMs: 0 };
}

/**
 * Starts a relay without any policy: the lower bound for the cost of one hop with `http` and
 * `undici`.
 */
async function startBareRelay(upstream: string): Promise<string> {
  const pool = new Pool(`http://${upstream}`, { connections: LATENCY_SLOTS, pipelining: 1 });
  const server = createServer((request, response) => {
    const path = request.url ?? '/';
    pool.dispatch(
      { method: 'GET', path, headers: request.rawHeaders },
      {
        onRequestStart: () => {},
        onResponseStart: ({ rawHeaders }, status) => {
          response.writeHead(status, (rawHeaders as Buffer[]).map(String));
        },
        onResponseData: (_controller, chunk) => response.write(chunk),
        onResponseEnd: () => response.end(),
        onResponseError: () => response.destroy(),
      },
    );
  });
  return listenOnLoopback(server);
}

function startHost(spec: LatencyHostSpec): Promise<string> {
  if (spec.memberId === 'upstream') return startUpstream();
  if (spec.memberId === 'bare') return startBareRelay(spec.upstream ?? '');
  return startDaemon(spec);
}

process.on('message', (spec: LatencyHostSpec) => {
  void startHost(spec).then((address) => process.send?.({ address }));
});
process.on('disconnect', () => process.exit(0));
