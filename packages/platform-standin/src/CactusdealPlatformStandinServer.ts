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
import {
  type Clock,
  collectRequestBody,
  formatError,
  getMonotonicMs,
  waitMs,
} from '@cactusdeal/shared';
import {
  buildTextAnswer,
  matchCall,
  type StandinAnswer,
  type StandinCall,
} from './CactusdealPlatformStandinCalls.js';
import {
  type CallCounter,
  type CallCounts,
  createCallCounter,
} from './CactusdealPlatformStandinCounts.js';
import {
  createFaultState,
  type Fault,
  FaultMode,
  type FaultState,
  parseFault,
} from './CactusdealPlatformStandinFault.js';

export interface StandinOptions {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  /** Refuses calls beyond this rate with status 429; unlimited when absent. */
  readonly callsPerSecondLimit?: number;
  /** Clock that decides when leases expire; the monotonic clock when absent. */
  readonly clock?: Clock;
}

/** A running stand-in for the platform's service. Its records are lost when it is closed. */
export interface PlatformStandin {
  readonly url: string;
  setFault(fault: Fault): void;
  getCounts(): CallCounts;
  close(): Promise<void>;
}

interface StandinState {
  readonly platform: Platform;
  readonly counter: CallCounter;
  readonly faults: FaultState;
  readonly rateLimit: CallBudget | undefined;
  /** Responses not yet sent; the faults `down` and `silent` close their connections. */
  readonly pendingResponses: Set<ServerResponse>;
}

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_CONTENT_TOO_LARGE = 413;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;

/** Starts the stand-in; resolves once it is listening. */
export async function startPlatformStandin(options: StandinOptions): Promise<PlatformStandin> {
  const { callsPerSecondLimit } = options;
  const state: StandinState = {
    platform: createMemoryPlatform({ clock: options.clock ?? getMonotonicMs }),
    counter: createCallCounter(),
    faults: createFaultState(),
    rateLimit:
      callsPerSecondLimit === undefined
        ? undefined
        : createCallBudget(callsPerSecondLimit, getMonotonicMs),
    pendingResponses: new Set(),
  };
  const server = createServer((request, response) => {
    void handleRequest(state, request, response).catch((caught: unknown) => {
      response.destroy(new Error(formatError(caught)));
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
    state.pendingResponses.forEach((response) => response.destroy());
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
    sendAnswer(
      response,
      buildTextAnswer(
        STATUS_CONTENT_TOO_LARGE,
        `body too large: allowed are up to ${MAX_VALUE_BYTES} bytes`,
      ),
    );
    return;
  }
  if (url.pathname.startsWith('/control/')) {
    sendAnswer(response, handleControlRequest(state, url.pathname, body));
    return;
  }
  const call = matchCall(request.method ?? '', url);
  if (call === undefined)
    sendAnswer(
      response,
      buildTextAnswer(STATUS_NOT_FOUND, `unknown call ${request.method} ${url.pathname}`),
    );
  else await handleCall(state, call, body, response);
}

/** Reads the body; undefined when it is longer than the largest value. */
async function readBody(request: IncomingMessage): Promise<Uint8Array | undefined> {
  return (await collectRequestBody(request, { maxBytes: MAX_VALUE_BYTES })).toMaybe().extract();
}

function handleControlRequest(state: StandinState, path: string, body: Uint8Array): StandinAnswer {
  if (path === '/control/counts') {
    return buildTextAnswer(STATUS_OK, JSON.stringify(state.counter.getCounts()));
  }
  if (path !== '/control/fault')
    return buildTextAnswer(
      STATUS_NOT_FOUND,
      `unknown command ${path}, allowed: /control/counts, /control/fault`,
    );
  const parsed = parseFault(new TextDecoder().decode(body));
  return parsed.caseOf({
    Left: (failure) => buildTextAnswer(STATUS_BAD_REQUEST, failure.message),
    Right: (fault) => {
      setFault(state, fault);
      return buildTextAnswer(STATUS_OK, 'ok');
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
  const fault = state.faults.takeFor(call.key, call.isWrite);
  state.pendingResponses.add(response);
  const connectionClosed = new AbortController();
  response.once('close', () => {
    state.pendingResponses.delete(response);
    connectionClosed.abort();
  });
  const refusal = refuseCall(state, fault);
  if (refusal !== undefined) {
    sendAnswer(response, refusal);
    return;
  }
  if (fault?.mode === FaultMode.Silent) return;
  if (fault?.mode === FaultMode.Slow) await waitMs(fault.delayMs ?? 0, connectionClosed.signal);
  if (connectionClosed.signal.aborted) return;
  const answer = await runCall(state, call, body, connectionClosed.signal);
  if (fault?.mode === FaultMode.LoseAnswer) response.destroy();
  else sendAnswer(response, answer);
}

/** Returns the refusal of a call by an outage or a rate limit; undefined when it may run. */
function refuseCall(state: StandinState, fault: Fault | undefined): StandinAnswer | undefined {
  if (fault?.mode === FaultMode.Down)
    return buildTextAnswer(STATUS_UNAVAILABLE, 'unavailable: fault "down" is set');
  const isOverLimit =
    state.rateLimit?.take() === false ||
    (fault?.mode === FaultMode.Limit && !state.faults.takeLimitToken());
  return isOverLimit ? buildTextAnswer(STATUS_TOO_MANY_REQUESTS, 'rate limit exceeded') : undefined;
}

async function runCall(
  state: StandinState,
  call: StandinCall,
  body: Uint8Array,
  signal: AbortSignal,
): Promise<StandinAnswer> {
  const endWatch = call.operation === 'watch' ? state.counter.countWaitingWatch() : () => {};
  const answer = await call.run(state.platform, body, signal);
  endWatch();
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
