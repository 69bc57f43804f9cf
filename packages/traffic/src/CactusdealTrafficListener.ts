import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { CompleteSettings } from '@cactusdeal/schema';
import { type Clock, formatCaught, type Log, type Random } from '@cactusdeal/shared';
import { type Either, Left } from 'purify-ts';
import { createBalancer } from './CactusdealTrafficBalancer.js';
import { type CallBody, readBody } from './CactusdealTrafficBody.js';
import { type Call, type CallEnd, startCallLife } from './CactusdealTrafficCall.js';
import { type EntryParts, serveAtEntry } from './CactusdealTrafficEntry.js';
import { type GateParts, serveAtGate } from './CactusdealTrafficGate.js';
import { CallHeader } from './CactusdealTrafficHeaders.js';
import { acceptHead, buildCall, readHead, readNumber } from './CactusdealTrafficIntake.js';
import type { CallRole, TrafficMetrics } from './CactusdealTrafficMetrics.js';
import type { Claims, GateQueue, Quarantine } from './CactusdealTrafficPolicyTypes.js';
import { createGatePools, createPools } from './CactusdealTrafficPools.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import { createResponseSink, sendRefusal } from './CactusdealTrafficResponse.js';
import { createRetryBudget } from './CactusdealTrafficRetryBudget.js';
import {
  type Directory,
  type GetSnapshot,
  type LocalWorker,
  type Refusal,
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
  /** Milliseconds; the gate queue's clock. */
  readonly clock: Clock;
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

/** Starts listening. Rejects with the socket's error when the address cannot be bound. */
export async function startCallListener(options: CallListenerOptions): Promise<CallListener> {
  const { settings } = options;
  const gate = buildGate(options);
  const entry = buildEntry(options, gate);
  const inFlight = new Set<object>();
  let draining = false;
  let notifyIdle: (() => void) | undefined;

  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: settings.headerTimeoutMs,
    requestTimeout: 0,
    keepAliveTimeout: settings.idleTimeoutMs,
    connectionsCheckingInterval: Math.min(1000, settings.headerTimeoutMs),
  });
  const handle = (request: IncomingMessage, response: ServerResponse): void => {
    void handleRequest(request, response);
  };
  server.on('request', handle);
  // Asked for by the caller before it sends its body; answered once the head is accepted.
  server.on('checkContinue', handle);
  server.timeout = settings.idleTimeoutMs;
  server.on('timeout', closeIdleSocket);
  options.metrics.observeGate(() => ({
    ...options.queue.getGauges(),
    connections: gate.pools.countConnections(options.getLocalWorker()?.address ?? ''),
  }));
  await startListening(server, options.address);
  const bound = server.address() as AddressInfo;

  return {
    address:
      bound.family === 'IPv6'
        ? `[${bound.address}]:${bound.port}`
        : `${bound.address}:${bound.port}`,
    drain,
    close: async () => {
      const closed = new Promise((resolve) => {
        server.close(resolve);
      });
      server.closeAllConnections();
      await Promise.all([closed, gate.pools.close(), entry.pools.close()]);
    },
  };

  async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const gateName = request.headers[CallHeader.Gate];
    const role: CallRole = gateName === undefined ? 'entry' : 'gate';
    if (draining) {
      response.setHeader('connection', 'close');
      sendRefusal(response, createNotRun(RefusalKind.Draining, 'this daemon is stopping'));
      return;
    }
    inFlight.add(response);
    response.once('close', () => {
      inFlight.delete(response);
      if (inFlight.size === 0) notifyIdle?.();
    });
    try {
      await serveRequest(role, request, response, String(gateName));
    } catch (caught) {
      options.log.error('call-defect', { error: formatCaught(caught) });
      response.destroy();
    }
  }

  async function serveRequest(
    role: CallRole,
    request: IncomingMessage,
    response: ServerResponse,
    gateName: string,
  ): Promise<void> {
    const accepted = await acceptRequest(role, request, response);
    if (accepted.isLeft()) {
      const refusal = accepted.extract();
      options.metrics.recordRefusal(role, refusal);
      sendRefusal(response, refusal);
      return;
    }
    const call = accepted.unsafeCoerce();
    const end =
      role === 'gate' ? await serveAtGate(gate, call, gateName) : await serveAtEntry(entry, call);
    call.life.close();
    recordEnd(options, role, call, end);
    if (end.type === 'refused') sendRefusal(response, end.refusal);
  }

  async function acceptRequest(
    role: CallRole,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Either<Refusal, Call>> {
    const head = acceptHead(options, readHead(request));
    if (head.isLeft()) return Left(head.extract());
    const accepted = head.unsafeCoerce();
    if (request.headers.expect !== undefined) response.writeContinue();
    const life = startCallLife(accepted.remainingMs);
    response.once('close', () => {
      if (!response.writableFinished) life.cancel();
    });
    const body = await readRequestBody(request, accepted.route.route.maxBodyBytes);
    if (body.isLeft()) life.close();
    const sink = createResponseSink(response);
    const levels = role === 'entry' ? 1 : 0;
    return body.map((read) => buildCall(options, accepted, { body: read, life, sink }, levels));
  }

  async function drain(): Promise<void> {
    draining = true;
    if (inFlight.size === 0) return;
    const idle = new Promise<void>((resolve) => {
      notifyIdle = resolve;
    });
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, settings.drainMs);
    });
    await Promise.race([idle, late]);
    clearTimeout(timer);
  }
}

function readRequestBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Either<Refusal, CallBody>> {
  const contentLength = readNumber(request.headers['content-length']);
  const chunked = request.headers['transfer-encoding'] !== undefined;
  return readBody(request, { contentLength, chunked }, maxBytes);
}

function buildGate(options: CallListenerOptions): GateParts {
  return { ...options, pools: createPools(options.settings.connectionsPerWorker) };
}

function buildEntry(options: CallListenerOptions, gate: GateParts): EntryParts {
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
    serveLocally: (call, { worker }) => serveAtGate(gate, call, worker),
  };
}

/** A socket without progress is ended unless its caller waits for an answer. */
function closeIdleSocket(socket: Socket): void {
  const { _httpMessage: response } = socket as { _httpMessage?: ServerResponse };
  const waits = response !== undefined && response.req.complete && !response.headersSent;
  if (!waits) socket.destroy();
}

function recordEnd(options: CallListenerOptions, role: CallRole, call: Call, end: CallEnd): void {
  const totalMs = options.clock() - call.startedAtMs;
  if (end.type === 'refused') {
    options.metrics.recordRefusal(role, end.refusal);
    options.metrics.recordCall(role, call.route, end.refusal.outcome, { totalMs });
    return;
  }
  if (end.type === 'cut') {
    options.metrics.recordCall(role, call.route, 'cut', { totalMs });
    return;
  }
  const addedMs = end.headAtMs - call.startedAtMs - end.upstreamMs;
  const { queuedMs } = end;
  options.metrics.recordCall(role, call.route, 'completed', { totalMs, addedMs, queuedMs });
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
