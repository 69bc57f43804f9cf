import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { type Failure, formatCaught, type Log } from '@cactusdeal/shared';

/** What a handler answers; `body` is sent as JSON unless `contentType` says otherwise. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: unknown;
  readonly contentType?: string;
}

/** A request as the handlers see it. */
export interface HttpRequest {
  readonly query: URLSearchParams;
  /** Path segments matched by `:name` in the pattern. */
  readonly params: Readonly<Record<string, string>>;
  readonly body: unknown;
}

/** Handles the requests of one method and path pattern such as `/v1/workers/:name`. */
export interface HttpRoute {
  readonly method: string;
  readonly pattern: string;
  readonly handle: (request: HttpRequest) => Promise<HttpAnswer> | HttpAnswer;
}

/** A listening server. */
export interface HttpListener {
  readonly address: string;
  close(): Promise<void>;
}

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 10_000;

type BadBody = Failure<'BodyTooLarge' | 'BodyMalformed'>;

/** Starts a JSON server on an IP number and port. Rejects when the address cannot be bound. */
export async function startHttpListener(
  address: string,
  routes: readonly HttpRoute[],
  log: Log,
): Promise<HttpListener> {
  const server = createServer((request, response) => {
    void serveRequest(routes, request, response, log);
  });
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  const bound = await listenOn(server, address);
  return {
    address: bound,
    close: () => closeServer(server),
  };
}

/** Splits `IP:port` or `[IPv6]:port`. */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const at = address.lastIndexOf(':');
  const host = address.slice(0, at).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(at + 1)) };
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

async function serveRequest(
  routes: readonly HttpRoute[],
  request: IncomingMessage,
  response: ServerResponse,
  log: Log,
): Promise<void> {
  try {
    sendAnswer(response, await answerRequest(routes, request));
  } catch (caught) {
    log.error('admin-request-failed', { path: request.url, error: formatCaught(caught) });
    sendAnswer(response, { status: 500, body: { kind: 'Internal', message: 'see the log' } });
  }
}

async function answerRequest(
  routes: readonly HttpRoute[],
  request: IncomingMessage,
): Promise<HttpAnswer> {
  const url = new URL(request.url ?? '/', 'http://daemon');
  const onPath = routes.flatMap((route) => {
    const params = matchPattern(route.pattern, url.pathname);
    return params === undefined ? [] : [{ route, params }];
  });
  const found = onPath.find(({ route }) => route.method === request.method);
  if (found === undefined) return refusePath(onPath.length > 0, url.pathname);
  const body = await readBody(request);
  if ('failure' in body) {
    return { status: body.failure.kind === 'BodyTooLarge' ? 413 : 400, body: body.failure };
  }
  return found.route.handle({ query: url.searchParams, params: found.params, body: body.value });
}

function refusePath(known: boolean, path: string): HttpAnswer {
  return known
    ? { status: 405, body: { kind: 'MethodNotAllowed', message: path } }
    : { status: 404, body: { kind: 'NotFound', message: path } };
}

function matchPattern(pattern: string, path: string): Record<string, string> | undefined {
  const wanted = pattern.split('/');
  const found = path.split('/');
  if (wanted.length !== found.length) return undefined;
  const params: Record<string, string> = {};
  const fits = wanted.every((segment, index) => {
    const value = found[index] ?? '';
    if (!segment.startsWith(':')) return segment === value;
    params[segment.slice(1)] = value;
    return value !== '';
  });
  return fits ? params : undefined;
}

async function readBody(
  request: IncomingMessage,
): Promise<{ readonly value: unknown } | { readonly failure: BadBody }> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) {
      return { failure: { kind: 'BodyTooLarge', message: `over ${MAX_BODY_BYTES} bytes` } };
    }
    chunks.push(chunk);
  }
  if (size === 0) return { value: undefined };
  try {
    return { value: JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown };
  } catch (caught) {
    return { failure: { kind: 'BodyMalformed', message: formatCaught(caught) } };
  }
}

function sendAnswer(response: ServerResponse, answer: HttpAnswer): void {
  const contentType = answer.contentType ?? 'application/json';
  const text = answer.contentType === undefined ? JSON.stringify(answer.body) : String(answer.body);
  response.writeHead(answer.status, { 'content-type': contentType });
  response.end(text);
}
