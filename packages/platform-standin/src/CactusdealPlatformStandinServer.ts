import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  type CallBudget,
  createCallBudget,
  createMemoryPlatform,
  MAX_VALUE_BYTES,
  type Platform,
  REVISION_HEADER,
} from '@cactusdeal/platform';
import { type Clock, formatCaught, getMonotonicMs, waitMs } from '@cactusdeal/shared';
import {
  buildAnswer,
  matchCall,
  type StandinAnswer,
  type StandinCall,
} from './CactusdealPlatformStandinCalls.js';
import { type Counter, type Counts, createCounter } from './CactusdealPlatformStandinCounts.js';
import {
  createFaultState,
  type Fault,
  FaultMode,
  type FaultState,
  parseFault,
} from './CactusdealPlatformStandinFault.js';

export interface StandinOptions {
  readonly host: string;
  /** 0 for a free port. */
  readonly port: number;
  /** Refuses calls beyond this rate with status 429; unlimited when absent. */
  readonly callsPerSecondLimit?: number;
  /** Time by which leases expire; the monotonic clock when absent. */
  readonly clock?: Clock;
}

/** A running stand-in of the platform's service. Its records last as long as it runs. */
export interface PlatformStandin {
  readonly url: string;
  setFault(fault: Fault): void;
  getCounts(): Counts;
  close(): Promise<void>;
}

interface StandinState {
  readonly platform: Platform;
  readonly counter: Counter;
  readonly faults: FaultState;
  readonly limit: CallBudget | undefined;
  /** Connections that wait for an answer, which an outage cuts. */
  readonly waiting: Set<ServerResponse>;
}

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_LARGE = 413;
const STATUS_TOO_MANY = 429;
const STATUS_UNAVAILABLE = 503;

/** Starts the stand-in; resolves when it listens. */
export async function startPlatformStandin(options: StandinOptions): Promise<PlatformStandin> {
  const { callsPerSecondLimit } = options;
  const state: StandinState = {
    platform: createMemoryPlatform({ clock: options.clock ?? getMonotonicMs }),
    counter: createCounter(),
    faults: createFaultState(),
    limit:
      callsPerSecondLimit === undefined
        ? undefined
        : createCallBudget(callsPerSecondLimit, getMonotonicMs),
    waiting: new Set(),
  };
  const server = createServer((request, response) => {
    void handleRequest(state, request, response).catch((caught: unknown) => {
      response.destroy(new Error(formatCaught(caught)));
    });
  });
  await startListening(server, options);
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://${options.host}:${port}`,
    setFault: (fault) => setFault(state, fault),
    getCounts: () => state.counter.getCounts(),
    close: () => closeServer(server, state.platform),
  };
}

function startListening(server: Server, { host, port }: StandinOptions): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}

async function closeServer(server: Server, platform: Platform): Promise<void> {
  await platform.close();
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

function setFault(state: StandinState, fault: Fault): void {
  state.faults.set(fault);
  if (fault.mode === FaultMode.Down || fault.mode === FaultMode.Silent) {
    state.waiting.forEach((response) => response.destroy());
  }
}

async function handleRequest(
  state: StandinState,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://standin');
  const body = await readBody(request);
  if (body === undefined) {
    sendAnswer(response, buildAnswer(STATUS_TOO_LARGE, `allowed are ${MAX_VALUE_BYTES} bytes`));
    return;
  }
  if (url.pathname.startsWith('/control/')) {
    sendAnswer(response, runControl(state, url.pathname, body));
    return;
  }
  const call = matchCall(request.method ?? '', url);
  if (call === undefined) sendAnswer(response, buildAnswer(STATUS_NOT_FOUND, 'no such call'));
  else await handleCall(state, call, body, response);
}

async function readBody(request: IncomingMessage): Promise<Uint8Array | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += (chunk as Buffer).length;
    if (length <= MAX_VALUE_BYTES) chunks.push(chunk as Buffer);
  }
  return length > MAX_VALUE_BYTES ? undefined : Buffer.concat(chunks);
}

function runControl(state: StandinState, path: string, body: Uint8Array): StandinAnswer {
  if (path === '/control/counts') {
    return buildAnswer(STATUS_OK, JSON.stringify(state.counter.getCounts()));
  }
  if (path !== '/control/fault') return buildAnswer(STATUS_NOT_FOUND, 'no such command');
  const parsed = parseFault(new TextDecoder().decode(body));
  return parsed.caseOf({
    Left: (failure) => buildAnswer(STATUS_BAD_REQUEST, failure.message),
    Right: (fault) => {
      setFault(state, fault);
      return buildAnswer(STATUS_OK, 'ok');
    },
  });
}

async function handleCall(
  state: StandinState,
  call: StandinCall,
  body: Uint8Array,
  response: ServerResponse,
): Promise<void> {
  state.counter.count(call.operation, call.key);
  const fault = state.faults.use(call.key, call.isWrite);
  state.waiting.add(response);
  const closed = new AbortController();
  response.once('close', () => {
    state.waiting.delete(response);
    closed.abort();
  });
  const refusal = refuseCall(state, fault);
  if (refusal !== undefined) {
    sendAnswer(response, refusal);
    return;
  }
  if (fault?.mode === FaultMode.Silent) return;
  if (fault?.mode === FaultMode.Slow) await waitMs(fault.delayMs ?? 0, closed.signal);
  if (closed.signal.aborted) return;
  const answer = await runCall(state, call, body, closed.signal);
  if (fault?.mode === FaultMode.LoseAnswer) response.destroy();
  else sendAnswer(response, answer);
}

function refuseCall(state: StandinState, fault: Fault | undefined): StandinAnswer | undefined {
  if (fault?.mode === FaultMode.Down) return buildAnswer(STATUS_UNAVAILABLE, 'down on command');
  const isOverLimit =
    state.limit?.take() === false ||
    (fault?.mode === FaultMode.Limit && !state.faults.takeFromLimit());
  return isOverLimit ? buildAnswer(STATUS_TOO_MANY, 'too many calls') : undefined;
}

async function runCall(
  state: StandinState,
  call: StandinCall,
  body: Uint8Array,
  signal: AbortSignal,
): Promise<StandinAnswer> {
  const endWaiting = call.operation === 'watch' ? state.counter.countWaiting() : () => {};
  const answer = await call.run(state.platform, body, signal);
  endWaiting();
  return answer;
}

function sendAnswer(response: ServerResponse, answer: StandinAnswer): void {
  if (response.destroyed) return;
  response.writeHead(answer.status, {
    'content-length': answer.body.byteLength,
    [REVISION_HEADER]: String(answer.revision),
  });
  response.end(answer.body);
}
