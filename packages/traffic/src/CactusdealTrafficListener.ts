import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createCrashWatch, type Quarantine } from '@cactusdeal/quarantine';
import type { CompleteSettings } from '@cactusdeal/schema';
import {
  type ChunkPacer,
  type Clock,
  createChunkPacer,
  createDeferredTasks,
  formatError,
  getWallTimeMs,
  type Log,
  type Random,
} from '@cactusdeal/shared';
import { createAttemptLog, createAttemptIds } from './CactusdealTrafficAttemptLog.js';
import { createBalancer } from './CactusdealTrafficBalancer.js';
import type { EntryContext } from './CactusdealTrafficEntry.js';
import { type GateContext, serveAtGate } from './CactusdealTrafficGate.js';
import type { TrafficMetrics } from './CactusdealTrafficMetrics.js';
import type { Claims, GateQueue } from './CactusdealTrafficPolicyTypes.js';
import { createGatePools, createPools } from './CactusdealTrafficConnectionPools.js';
import { createUpstreamProgress } from './CactusdealTrafficUpstreamProgress.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import {
  answerAttemptQuery,
  type RequestContext,
  serveRequest,
} from './CactusdealTrafficRequests.js';
import { sendRefusal } from './CactusdealTrafficResponse.js';
import { createRetryBudget } from './CactusdealTrafficRetryBudget.js';
import {
  type Directory,
  type GetSnapshot,
  type LocalWorker,
  RefusalKind,
} from './CactusdealTrafficTypes.js';

/** Options of `startCallListener`. */
export interface CallListenerOptions {
  /** IP address and port to listen on; port 0 selects a free one. */
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
  /** Monotonic clock in milliseconds; the same as the gate queue's. */
  readonly clock: Clock;
  /** Clock of the claims; the system's wall clock by default. */
  readonly wallClock?: Clock;
  readonly random: Random;
}

/** Accepts calls: from callers as their entry, and from other daemons as the gate of its worker. */
export interface CallListener {
  /** IP address and port that it listens on. */
  readonly address: string;
  /**
   * Refuses new calls and waits for those in flight, at most `drainMs` of the settings; aborts none.
   */
  drain(): Promise<void>;
  /** Closes all connections immediately. */
  close(): Promise<void>;
}

const MAX_HEADER_BYTES = 16 * 1024;
const CONNECTION_CHECK_INTERVAL_MS = 1000;

/** Starts listening. Rejects with the socket's error when the address cannot be bound. */
export async function startCallListener(options: CallListenerOptions): Promise<CallListener> {
  const context = buildRequestContext(options);
  const requests = createRequestTracker();
  const server = createCallServer(options, (request, response) => {
    if (request.method === 'OPTIONS' && request.url === '*') {
      answerAttemptQuery(context.attempts, request, response);
      return;
    }
    if (!requests.begin(response)) {
      response.setHeader('connection', 'close');
      sendRefusal(
        response,
        createNotRun(RefusalKind.Draining, 'this daemon is stopping and accepts no new calls'),
      );
      return;
    }
    serveRequest(context, request, response).catch((caught: unknown) => {
      options.log.error('call-defect', { error: formatError(caught) });
      response.destroy();
    });
  });
  options.metrics.observeGate(() => ({
    ...options.queue.getGauges(),
    connections: context.gate.pools.countConnections(options.getLocalWorker()?.address ?? ''),
  }));
  await startListening(server, options.address);
  return {
    address: formatAddress(server.address() as AddressInfo),
    drain: () => requests.drain(options.settings.drainMs),
    close: async () => {
      const closed = new Promise((resolve) => {
        server.close(resolve);
      });
      server.closeAllConnections();
      context.gate.crashWatch.close();
      context.pacer.close();
      await Promise.all([closed, context.gate.pools.close(), context.entry.pools.close()]);
    },
  };
}

/** Tracks the requests in flight, each until its response was handed to the operating system. */
interface RequestTracker {
  /** Registers a request; returns false once the drain has begun. */
  begin(response: ServerResponse): boolean;
  /** Resolves when no request is in flight, or after `limitMs` milliseconds. */
  drain(limitMs: number): Promise<void>;
}

function createRequestTracker(): RequestTracker {
  let inFlight = 0;
  let isDraining = false;
  let notifyIdle: (() => void) | undefined;
  return {
    begin: (response) => {
      if (isDraining) return false;
      inFlight += 1;
      response.once('close', () => {
        inFlight -= 1;
        if (inFlight === 0) notifyIdle?.();
      });
      return true;
    },
    drain: (limitMs) => {
      isDraining = true;
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
  const currentResponses = new WeakMap<Socket, ServerResponse>();
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: settings.headerTimeoutMs,
    requestTimeout: 0,
    keepAliveTimeout: settings.idleTimeoutMs,
    connectionsCheckingInterval: Math.min(CONNECTION_CHECK_INTERVAL_MS, settings.headerTimeoutMs),
  });
  const handleTracked = (request: IncomingMessage, response: ServerResponse): void => {
    currentResponses.set(request.socket, response);
    handle(request, response);
  };
  server.on('request', handleTracked);
  // The caller waits for `100 Continue` before it sends its body, which follows once the head is
  // accepted.
  server.on('checkContinue', handleTracked);
  server.timeout = settings.idleTimeoutMs;
  server.on('timeout', (socket: Socket) => {
    if (!isAwaitingResponse(currentResponses.get(socket))) socket.destroy();
  });
  return server;
}

/** Whether a caller has sent its complete request and is waiting for the response to begin. */
function isAwaitingResponse(response: ServerResponse | undefined): boolean {
  return response !== undefined && response.req.complete && !response.headersSent;
}

function buildRequestContext(options: CallListenerOptions): RequestContext {
  const pacer = createChunkPacer();
  const gate = buildGateContext(options, pacer);
  const entry = buildEntryContext(options, gate);
  const { deferredTasks } = entry;
  const attempts = createAttemptLog(options.clock);
  return { ...options, pacer, deferredTasks, gate, entry, attempts };
}

function buildGateContext(options: CallListenerOptions, pacer: ChunkPacer): GateContext {
  const { wallClock = getWallTimeMs, settings, quarantine, log } = options;
  const pools = createPools(settings.connectionsPerWorker);
  const progress = createUpstreamProgress();
  const crashWatch = createCrashWatch({
    recordCrash: (fingerprint, inFlight) => quarantine.recordCrash(fingerprint, inFlight),
    clock: options.clock,
    log,
  });
  return { ...options, wallClock, pools, progress, crashWatch, pacer };
}

function buildEntryContext(options: CallListenerOptions, gate: GateContext): EntryContext {
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
    pacer: gate.pacer,
    deferredTasks: createDeferredTasks(),
    nextAttemptId: createAttemptIds(),
    serveLocally: (call, { worker }) => serveAtGate(gate, call, worker),
  };
}

function formatAddress({ address, family, port }: AddressInfo): string {
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
