import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { CompleteSettings } from '@cactusdeal/schema';
import { type Clock, formatCaught, getWallTimeMs, type Log, type Random } from '@cactusdeal/shared';
import { createAttemptLog, createAttemptNames } from './CactusdealTrafficAttemptLog.js';
import { createBalancer } from './CactusdealTrafficBalancer.js';
import type { EntryContext } from './CactusdealTrafficEntry.js';
import { type GateContext, serveAtGate } from './CactusdealTrafficGate.js';
import type { TrafficMetrics } from './CactusdealTrafficMetrics.js';
import type { Claims, GateQueue, Quarantine } from './CactusdealTrafficPolicyTypes.js';
import { createGatePools, createPools } from './CactusdealTrafficPools.js';
import { createProgress } from './CactusdealTrafficProgress.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import { answerQuestion, type RequestContext, serveRequest } from './CactusdealTrafficRequests.js';
import { sendRefusal } from './CactusdealTrafficResponse.js';
import { createRetryBudget } from './CactusdealTrafficRetryBudget.js';
import {
  type Directory,
  type GetSnapshot,
  type LocalWorker,
  RefusalKind,
} from './CactusdealTrafficTypes.js';

/** What a call listener needs. */
export interface CallListenerOptions {
  /** IP number and port to listen on; port 0 takes a free one. */
  readonly address: string;
  readonly dataCentre: string;
  readonly memberId: string;
  readonly getSnapshot: GetSnapshot;
  readonly directory: Directory;
  readonly getLocalWorker: () => LocalWorker | undefined;
  readonly queue: GateQueue;
  readonly claims: Claims;
  readonly quarantine: Quarantine;
  readonly settings: CompleteSettings['calls'];
  readonly metrics: TrafficMetrics;
  readonly log: Log;
  /** Milliseconds that never go back; the gate queue's clock. */
  readonly clock: Clock;
  /** Clock of the claims; the wall clock when absent. */
  readonly wallClock?: Clock;
  readonly random: Random;
}

/** Takes calls, from callers as their entry and from other daemons as the gate of its worker. */
export interface CallListener {
  /** IP number and port that it listens on. */
  readonly address: string;
  /** Refuses new calls and waits for those in flight, up to the settings' `drainMs`; cuts none. */
  drain(): Promise<void>;
  /** Ends at once whatever is still open. */
  close(): Promise<void>;
}

const MAX_HEADER_BYTES = 16 * 1024;
const CHECK_INTERVAL_MS = 1000;

/** Starts listening. Rejects with the socket's error when the address cannot be bound. */
export async function startCallListener(options: CallListenerOptions): Promise<CallListener> {
  const context = buildRequestContext(options);
  const work = createWorkTracker();
  const server = createCallServer(options, (request, response) => {
    if (request.method === 'OPTIONS' && request.url === '*') {
      answerQuestion(context.attempts, request, response);
      return;
    }
    if (!work.begin(response)) {
      response.setHeader('connection', 'close');
      sendRefusal(response, createNotRun(RefusalKind.Draining, 'this daemon is stopping'));
      return;
    }
    serveRequest(context, request, response).catch((caught: unknown) => {
      options.log.error('call-defect', { error: formatCaught(caught) });
      response.destroy();
    });
  });
  options.metrics.observeGate(() => ({
    ...options.queue.getGauges(),
    connections: context.gate.pools.countConnections(options.getLocalWorker()?.address ?? ''),
  }));
  await startListening(server, options.address);
  return {
    address: formatBound(server.address() as AddressInfo),
    drain: () => work.drain(options.settings.drainMs),
    close: async () => {
      const closed = new Promise((resolve) => {
        server.close(resolve);
      });
      server.closeAllConnections();
      await Promise.all([closed, context.gate.pools.close(), context.entry.pools.close()]);
    },
  };
}

/** Knows the requests in flight; one is in flight until its answer was handed to the network. */
interface WorkTracker {
  /** False once the drain has begun. */
  begin(response: ServerResponse): boolean;
  drain(limitMs: number): Promise<void>;
}

function createWorkTracker(): WorkTracker {
  let inFlight = 0;
  let draining = false;
  let notifyIdle: (() => void) | undefined;
  return {
    begin: (response) => {
      if (draining) return false;
      inFlight += 1;
      response.once('close', () => {
        inFlight -= 1;
        if (inFlight === 0) notifyIdle?.();
      });
      return true;
    },
    drain: (limitMs) => {
      draining = true;
      if (inFlight === 0) return Promise.resolve();
      return new Promise((resolve) => {
        const timer = setTimeout(resolve, limitMs);
        notifyIdle = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    },
  };
}

function createCallServer(
  { settings }: CallListenerOptions,
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Server {
  const current = new WeakMap<Socket, ServerResponse>();
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: settings.headerTimeoutMs,
    requestTimeout: 0,
    keepAliveTimeout: settings.idleTimeoutMs,
    connectionsCheckingInterval: Math.min(CHECK_INTERVAL_MS, settings.headerTimeoutMs),
  });
  const handleTracked = (request: IncomingMessage, response: ServerResponse): void => {
    current.set(request.socket, response);
    handle(request, response);
  };
  server.on('request', handleTracked);
  // Asked for by the caller before it sends its body; answered once the head is accepted.
  server.on('checkContinue', handleTracked);
  server.timeout = settings.idleTimeoutMs;
  server.on('timeout', (socket: Socket) => {
    if (!isAwaitingAnswer(current.get(socket))) socket.destroy();
  });
  return server;
}

/** Whether a caller has sent its whole request and rightly is silent until the answer begins. */
function isAwaitingAnswer(response: ServerResponse | undefined): boolean {
  return response !== undefined && response.req.complete && !response.headersSent;
}

function buildRequestContext(options: CallListenerOptions): RequestContext {
  const gate = buildGate(options);
  const entry = buildEntry(options, gate);
  return { ...options, gate, entry, attempts: createAttemptLog(options.clock) };
}

function buildGate(options: CallListenerOptions): GateContext {
  const { wallClock = getWallTimeMs, settings } = options;
  const pools = createPools(settings.connectionsPerWorker);
  return { ...options, wallClock, pools, progress: createProgress() };
}

function buildEntry(options: CallListenerOptions, gate: GateContext): EntryContext {
  const { memberId, queue } = options;
  const isFree = (): boolean => {
    const { slots, inUse, queued } = queue.getGauges();
    return queued === 0 && inUse < slots;
  };
  return {
    ...options,
    balancer: createBalancer({ ...options, ownGate: { memberId, isFree } }),
    budget: createRetryBudget(),
    pools: createGatePools(),
    nextAttemptId: createAttemptNames(),
    serveLocally: (call, { worker }) => serveAtGate(gate, call, worker),
  };
}

function formatBound({ address, family, port }: AddressInfo): string {
  return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;
}

function startListening(server: Server, address: string): Promise<void> {
  const { hostname, port } = new URL(`http://${address}`);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port || '80'), hostname.replace(/^\[|\]$/g, ''), () => {
      server.off('error', reject);
      resolve();
    });
  });
}
