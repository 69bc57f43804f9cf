import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { writeSync } from 'node:fs';
import http from 'node:http';
import type net from 'node:net';
import { waitMs } from '@cactusdeal/shared';
import { startAnnouncer } from './CactusdealTestingAnnouncer.js';
import {
  type UpstreamResponseBody,
  type UpstreamBehaviour,
  UpstreamHeader,
  type UpstreamRecord,
  type UpstreamReport,
} from './CactusdealTestingUpstreamTypes.js';

const STDOUT_FD = 1;
const CRASH_EXIT_CODE = 70;
/** Interval at which held responses check whether they may be sent. */
const HOLD_POLL_MS = 5;
const MAX_RECORDS = 500_000;

/** Name, addresses and capacity of an upstream stand-in. */
export interface UpstreamOptions {
  readonly name: string;
  /** IP address and port. */
  readonly listen: string;
  readonly services: readonly string[];
  /** Concurrent requests that it announces as its capacity; it does not enforce them. */
  readonly slots: number;
  /** Admin address of the daemon on the same host; undefined: the upstream is not announced. */
  readonly admin: string | undefined;
  /** Address to announce in place of the listen address, such as that of a proxy. */
  readonly announcedAddress: string | undefined;
  /** Service time of a request, in milliseconds. */
  readonly serviceMs: number;
  /** Added to the service time of the first `slots` requests, in milliseconds. */
  readonly coldMs: number;
}

/** A running upstream stand-in. */
export interface Upstream {
  /** IP address and port on which it listens. */
  readonly address: string;
  /** Tells the daemon that the upstream left, then lets requests in flight finish. */
  close(): Promise<void>;
}

interface UpstreamState {
  readonly options: UpstreamOptions;
  readonly behaviour: UpstreamBehaviour;
  readonly records: UpstreamRecord[];
  readonly startedAtMs: number;
  inFlight: number;
  runCount: number;
  highWater: number;
  connectionHighWater: number;
}

/** Starts an HTTP server that runs requests, records them and announces itself to its daemon. */
export async function startUpstream(options: UpstreamOptions): Promise<Upstream> {
  const state = createState(options);
  const server = http.createServer({ keepAliveTimeout: 0 }, (request, response) => {
    handleRequest(state, buildReport, request, response).catch(() => response.destroy());
  });
  server.on('connection', () => countConnections(state, server));
  const [host, port] = options.listen.split(':');
  server.listen(Number(port), host, 4096);
  await once(server, 'listening');
  const address = `${host}:${(server.address() as net.AddressInfo).port}`;
  const announcer = startAnnouncer(
    { ...options, address: options.announcedAddress ?? address },
    state.behaviour,
  );
  return {
    address,
    close: async () => {
      await announcer.close();
      server.close();
      server.closeIdleConnections();
      await once(server, 'close');
    },
  };

  function buildReport(): UpstreamReport {
    const { records, startedAtMs, highWater, connectionHighWater } = state;
    const announceFailures = announcer.getFailureCount();
    const { name } = options;
    return { name, startedAtMs, records, highWater, connectionHighWater, announceFailures };
  }
}

function createState(options: UpstreamOptions): UpstreamState {
  const behaviour: UpstreamBehaviour = {
    slowFactor: 1,
    claimedHealth: undefined,
    isRefusing: false,
    crashPath: null,
    crashBody: null,
    isHolding: false,
    isCuttingShort: false,
    isSilent: false,
    state: 'ready',
    isMute: false,
  };
  return {
    options,
    behaviour,
    records: [],
    startedAtMs: Date.now(),
    inFlight: 0,
    runCount: 0,
    highWater: 0,
    connectionHighWater: 0,
  };
}

function countConnections(state: UpstreamState, server: http.Server): void {
  server.getConnections((error, count) => {
    if (error !== null) return;
    Object.assign(state, { connectionHighWater: Math.max(state.connectionHighWater, count) });
  });
}

async function handleRequest(
  state: UpstreamState,
  buildReport: () => UpstreamReport,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const path = request.url ?? '/';
  if (path === '/control/records') sendJson(response, 200, buildReport());
  else if (path === '/control') await handleControl(state, request, response);
  else if (path === '/healthz') handleHealth(state, response);
  else if (state.behaviour.isRefusing) sendJson(response, 503, { kind: 'Overloaded' });
  else await runRequest(state, request, response);
}

async function handleControl(
  state: UpstreamState,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const change = JSON.parse(Buffer.concat(chunks).toString()) as Partial<UpstreamBehaviour>;
  Object.assign(state.behaviour, change);
  sendJson(response, 200, state.behaviour);
}

function handleHealth(state: UpstreamState, response: http.ServerResponse): void {
  const isOk = (state.behaviour.claimedHealth ?? 'ok') === 'ok';
  const load = state.behaviour.claimedHealth === 'ok' ? 0 : state.inFlight / state.options.slots;
  sendJson(response, isOk ? 200 : 503, { status: isOk ? 'ok' : 'failing', load });
}

async function runRequest(
  state: UpstreamState,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const record = startRecord(state, request);
  const { behaviour } = state;
  response.on('close', () => finishRecord(state, record, response));
  if (typeof behaviour.crashPath === 'string' && record.path.startsWith(behaviour.crashPath))
    stopAsCrashed();
  const bodyHash = await readBody(state, request, record);
  await waitMs(computeServiceMs(state, request));
  while (behaviour.isHolding && !response.destroyed) await waitMs(HOLD_POLL_MS);
  if (behaviour.isSilent) return;
  sendResponse(state, request, response, record, bodyHash);
}

function startRecord(state: UpstreamState, request: http.IncomingMessage): UpstreamRecord {
  Object.assign(state, { inFlight: state.inFlight + 1, runCount: state.runCount + 1 });
  Object.assign(state, { highWater: Math.max(state.highWater, state.inFlight) });
  const record: UpstreamRecord = {
    requestId: String(request.headers[UpstreamHeader.RequestId] ?? ''),
    method: request.method ?? '',
    path: request.url ?? '',
    idempotencyKey: request.headers[UpstreamHeader.IdempotencyKey]?.toString(),
    startedAtMs: Date.now(),
    endedAtMs: undefined,
    concurrent: state.inFlight,
    wasCutOff: false,
    bodyBytes: 0,
  };
  if (state.records.length < MAX_RECORDS) state.records.push(record);
  printRun(state, record);
  return record;
}

/** Prints the run with a synchronous write, so that it is known even if the request crashes the process. */
function printRun(state: UpstreamState, record: UpstreamRecord): void {
  const key = record.idempotencyKey ?? '';
  const line = `run worker=${state.options.name} id=${record.requestId} key=${key} path=${record.path}\n`;
  writeSync(STDOUT_FD, line);
}

function finishRecord(
  state: UpstreamState,
  record: UpstreamRecord,
  response: http.ServerResponse,
): void {
  Object.assign(state, { inFlight: state.inFlight - 1 });
  Object.assign(record, { endedAtMs: Date.now(), wasCutOff: !response.writableFinished });
}

async function readBody(
  state: UpstreamState,
  request: http.IncomingMessage,
  record: UpstreamRecord,
): Promise<string> {
  const hash = createHash('sha256');
  const { crashBody } = state.behaviour;
  for await (const chunk of request) {
    const bytes = chunk as Buffer;
    Object.assign(record, { bodyBytes: record.bodyBytes + bytes.length });
    hash.update(bytes);
    if (typeof crashBody === 'string' && bytes.includes(crashBody)) stopAsCrashed();
  }
  return hash.digest('hex');
}

/** Exits as a program that crashes on a request does: no clean-up, no response to any request. */
function stopAsCrashed(): never {
  process.exit(CRASH_EXIT_CODE);
}

function computeServiceMs(state: UpstreamState, request: http.IncomingMessage): number {
  const { options, behaviour, runCount } = state;
  const requestedMs = request.headers[UpstreamHeader.ServiceMs];
  const serviceMs = requestedMs === undefined ? options.serviceMs : Number(requestedMs);
  const coldMs = runCount <= options.slots ? options.coldMs : 0;
  return (serviceMs + coldMs) * behaviour.slowFactor;
}

function sendResponse(
  state: UpstreamState,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  record: UpstreamRecord,
  bodyHash: string,
): void {
  const { requestId, path, bodyBytes } = record;
  const filler = '.'.repeat(Number(request.headers[UpstreamHeader.AnswerBytes] ?? 0));
  const body: UpstreamResponseBody = {
    requestId,
    worker: state.options.name,
    path,
    bodyBytes,
    bodyHash,
    filler,
  };
  response.setHeader(UpstreamHeader.RequestId, requestId);
  if (state.behaviour.isCuttingShort) sendTruncated(response, JSON.stringify(body));
  else sendJson(response, 200, body);
}

/**
 * Sends half of the text in chunked encoding, then resets the connection. As there is no
 * content-length, only the broken connection shows that the body is incomplete.
 */
function sendTruncated(response: http.ServerResponse, text: string): void {
  response.writeHead(200);
  response.write(text.slice(0, text.length / 2), () => response.socket?.resetAndDestroy());
}

function sendJson(response: http.ServerResponse, status: number, value: unknown): void {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
