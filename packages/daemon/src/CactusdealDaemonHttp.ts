import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  BodyFailureKind,
  type ChunkPacer,
  collectRequestBody,
  createChunkPacer,
  type Failure,
  formatError,
  type Log,
  parseAddress,
  parseJson,
} from '@cactusdeal/shared';
import { type Either, Right } from 'purify-ts';

/** Response of a handler; `body` is sent as JSON unless `contentType` is given. */
export interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
  readonly contentType?: string;
}

/** A request as it is passed to a handler. */
export interface HttpRequest {
  readonly query: URLSearchParams;
  /** Path segments by the names that the pattern gives them, such as `:name`; not URL-decoded. */
  readonly params: Readonly<Record<string, string>>;
  /** Parsed JSON; undefined when the request has no body. */
  readonly body: unknown;
}

/** Handles the requests of one method and path pattern such as `/v1/workers/:name`. */
export interface HttpRoute {
  readonly method: string;
  readonly pattern: string;
  readonly handle: (request: HttpRequest) => Promise<HttpResponse> | HttpResponse;
}

/** A listening HTTP server. */
export interface HttpListener {
  /** IP address and port that it is bound to. */
  readonly address: string;
  close(): Promise<void>;
}

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 10_000;

type RequestFailure = Failure<BodyFailureKind | 'BodyMalformed'>;

/** Statuses of the responses to requests whose bodies are not read; 400 for other failures. */
const FAILURE_STATUSES: Partial<Record<RequestFailure['kind'], number>> = {
  [BodyFailureKind.TooLarge]: 413,
  [BodyFailureKind.TimedOut]: 408,
};
const STATUS_BAD_REQUEST = 400;

/** Starts an HTTP server for the routes on `IP:port`. Rejects when the address cannot be bound. */
export async function startHttpListener(
  address: string,
  routes: readonly HttpRoute[],
  log: Log,
): Promise<HttpListener> {
  const pacer = createChunkPacer();
  const server = createServer((request, response) => {
    void serveRequest({ routes, pacer, log }, request, response);
  });
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  const bound = await listenOn(server, address);
  return {
    address: bound,
    close: async () => {
      await closeServer(server);
      pacer.close();
    },
  };
}

async function listenOn(server: Server, address: string): Promise<string> {
  const { host, port } = parseAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return `${address.slice(0, address.lastIndexOf(':'))}:${(server.address() as AddressInfo).port}`;
}

async function closeServer(server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}

interface ListenerParts {
  readonly routes: readonly HttpRoute[];
  readonly pacer: ChunkPacer;
  readonly log: Log;
}

async function serveRequest(
  parts: ListenerParts,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    sendResponse(response, await handleRequest(parts, request));
  } catch (caught) {
    parts.log.error('admin-request-failed', { path: request.url, error: formatError(caught) });
    sendResponse(response, {
      status: 500,
      body: {
        kind: 'Internal',
        message: 'internal error; see the event admin-request-failed in the daemon log',
      },
    });
  }
}

async function handleRequest(
  { routes, pacer }: ListenerParts,
  request: IncomingMessage,
): Promise<HttpResponse> {
  const url = new URL(request.url ?? '/', 'http://daemon');
  const candidates = routes.flatMap((route) => {
    const params = matchPattern(route.pattern, url.pathname);
    return params === undefined ? [] : [{ route, params }];
  });
  const match = candidates.find(({ route }) => route.method === request.method);
  if (match === undefined) return buildUnmatched(candidates.length > 0, url.pathname);
  const read = await readBody(request, pacer);
  return read.caseOf<Promise<HttpResponse> | HttpResponse>({
    Left: (failure) => ({
      status: FAILURE_STATUSES[failure.kind] ?? STATUS_BAD_REQUEST,
      body: failure,
    }),
    Right: (body) => match.route.handle({ query: url.searchParams, params: match.params, body }),
  });
}

/** Builds the response to a request that no route matches; its message is the path. */
function buildUnmatched(isKnownPath: boolean, path: string): HttpResponse {
  return isKnownPath
    ? { status: 405, body: { kind: 'MethodNotAllowed', message: path } }
    : { status: 404, body: { kind: 'NotFound', message: path } };
}

function matchPattern(pattern: string, path: string): Record<string, string> | undefined {
  const patternSegments = pattern.split('/');
  const pathSegments = path.split('/');
  if (patternSegments.length !== pathSegments.length) return undefined;
  const params: Record<string, string> = {};
  const isMatch = patternSegments.every((segment, index) => {
    const value = pathSegments[index] ?? '';
    if (!segment.startsWith(':')) return segment === value;
    params[segment.slice(1)] = value;
    return value !== '';
  });
  return isMatch ? params : undefined;
}

async function readBody(
  request: IncomingMessage,
  pacer: ChunkPacer,
): Promise<Either<RequestFailure, unknown>> {
  const limits = { maxBytes: MAX_BODY_BYTES, timeoutMs: REQUEST_TIMEOUT_MS, pacer };
  const collected = await collectRequestBody(request, limits);
  return collected.mapLeft<RequestFailure>((failure) => failure).chain(parseBody);
}

function parseBody(bytes: Buffer): Either<RequestFailure, unknown> {
  if (bytes.length === 0) return Right(undefined);
  const malformed = ({ message }: Failure): RequestFailure => ({ kind: 'BodyMalformed', message });
  return parseJson(bytes.toString('utf8')).mapLeft(malformed);
}

function sendResponse(serverResponse: ServerResponse, response: HttpResponse): void {
  const contentType = response.contentType ?? 'application/json';
  const text =
    response.contentType === undefined ? JSON.stringify(response.body) : String(response.body);
  // The rest of a body that is not read cannot be told from a further request.
  if (!serverResponse.req.complete) serverResponse.setHeader('connection', 'close');
  serverResponse.writeHead(response.status, { 'content-type': contentType });
  serverResponse.end(text);
}
