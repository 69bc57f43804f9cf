import { connect, type Socket } from 'node:net';
import { type Clock, parseAddress } from '@cactusdeal/shared';
import { Client, type Dispatcher } from 'undici';
import { findField } from './CactusdealRelayHeaders.js';
import type { Answer } from './CactusdealRelayTypes.js';

/** A request as it goes to the upstream beside this daemon. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  /** The answer has to carry this value in the field `idField`. */
  readonly id: string | undefined;
}

/** How a request to the upstream ended. */
export type UpstreamEnd =
  | { readonly type: 'answered'; readonly answer: Answer }
  /** No byte was sent. */
  | { readonly type: 'unsent'; readonly message: string }
  /** It was sent, and what came is no whole answer to it. */
  | { readonly type: 'broken'; readonly message: string };

/** A request under way. */
export interface UpstreamCall {
  readonly end: Promise<UpstreamEnd>;
  /** Closes the connection, so that the upstream stops its work. */
  cancel(): void;
}

/** Connections to the upstream beside this daemon, one request at a time on each. */
export interface UpstreamPool {
  send(request: UpstreamRequest): UpstreamCall;
  close(): void;
}

export interface UpstreamPoolOptions {
  /** `IP:PORT` of the upstream. */
  readonly address: string;
  /** Field in lower case in which the upstream repeats the id of a request. */
  readonly idField: string;
  readonly clock: Clock;
}

interface ConnectionState {
  isReset: boolean;
  /** Whether the answer under way has no length, so that it ends with its connection. */
  isUnframed: boolean;
}

interface Connection {
  readonly client: Client;
  readonly state: ConnectionState;
}

const CONNECT_TIMEOUT_MS = 1_000;
const RESET_CODES: readonly string[] = ['ECONNRESET', 'EPIPE'];
/** Shorter than upstreams keep idle connections, so that none is closed as a request is sent. */
const IDLE_MS = 3_000;
/** How long no connection is used twice after one brought what belongs to no request. */
const DISTRUST_MS = 10_000;

/** Creates the pool; a connection on which anything unexpected came is closed. */
export function createUpstreamPool(options: UpstreamPoolOptions): UpstreamPool {
  const idle: Connection[] = [];
  const all = new Set<Connection>();
  let distrustedUntilMs = 0;
  return {
    send,
    close: () => {
      all.forEach((connection) => discard(connection));
    },
  };

  function openClient(): Connection {
    const state = { isReset: false, isUnframed: false };
    const client = new Client(`http://${options.address}`, {
      pipelining: 1,
      connect: (_, callback) => openSocket(options.address, state, callback),
      keepAliveTimeout: IDLE_MS,
      keepAliveMaxTimeout: IDLE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const connection = { client, state };
    all.add(connection);
    client.on('disconnect', () => discard(connection));
    return connection;
  }

  function takeConnection(): Connection {
    for (;;) {
      const connection = idle.pop();
      if (connection === undefined) return openClient();
      if (!connection.client.destroyed) return connection;
    }
  }

  function discard(connection: Connection): void {
    const index = idle.indexOf(connection);
    if (index >= 0) idle.splice(index, 1);
    all.delete(connection);
    if (!connection.client.destroyed) void connection.client.destroy();
  }

  function releaseConnection(connection: Connection): void {
    if (options.clock() < distrustedUntilMs) discard(connection);
    else if (all.has(connection)) idle.push(connection);
  }

  function send(request: UpstreamRequest): UpstreamCall {
    const connection = takeConnection();
    const { client, state } = connection;
    let isCancelled = false;
    const end = new Promise<UpstreamEnd>((resolve) => {
      const handler = createHandler(request, options.idField, state, (result) => {
        if (result.type === 'answered') releaseConnection(connection);
        else {
          if (result.type === 'broken' && !isCancelled) {
            distrustedUntilMs = options.clock() + DISTRUST_MS;
          }
          discard(connection);
        }
        resolve(result);
      });
      client.dispatch(
        {
          method: request.method,
          path: request.path,
          headers: request.headers as string[],
          body: request.body ?? null,
        },
        handler,
      );
    });
    return {
      end,
      cancel: () => {
        isCancelled = true;
        discard(connection);
      },
    };
  }
}

/** Opens a socket and notes when the other end resets it. */
function openSocket(
  address: string,
  held: ConnectionState,
  callback: (...result: [Error, null] | [null, Socket]) => void,
): void {
  const state = held;
  const { host, port } = parseAddress(address);
  const socket = connect({ host, port, noDelay: true, allowHalfOpen: true });
  const timer = setTimeout(() => socket.destroy(new Error('timeout')), CONNECT_TIMEOUT_MS);
  let isOpen = false;
  socket.on('error', (error) => {
    recordReset(state, error);
    clearTimeout(timer);
    if (!isOpen) callback(error, null);
  });
  socket.on('end', () => {
    if (state.isUnframed) probeReset(socket, state);
    else socket.end();
  });
  socket.on('connect', () => {
    isOpen = true;
    clearTimeout(timer);
    callback(null, socket);
  });
}

/**
 * The runtime reports a reset that arrives together with data as an orderly end. Writing tells them
 * apart: it fails at once after a reset. An empty line before a request means nothing in HTTP.
 */
function probeReset(socket: Socket, held: ConnectionState): void {
  socket.write('\r\n', (error) => recordReset(held, error));
}

function recordReset(held: ConnectionState, error: Error | null | undefined): void {
  const state = held;
  const { code = '' } = (error ?? {}) as { code?: string };
  if (RESET_CODES.includes(code)) state.isReset = true;
}

function createHandler(
  request: UpstreamRequest,
  idField: string,
  held: ConnectionState,
  settle: (end: UpstreamEnd) => void,
): Dispatcher.DispatchHandler {
  const state = held;
  let isSent = false;
  let status = 0;
  let headers: string[] = [];
  const chunks: Buffer[] = [];
  return {
    onRequestStart: () => {
      isSent = true;
    },
    onResponseStart: (controller, statusCode) => {
      if (statusCode < 200) return;
      status = statusCode;
      headers = decodeHeaders(controller.rawHeaders as Buffer[]);
      state.isUnframed =
        findField(headers, 'content-length') === undefined &&
        findField(headers, 'transfer-encoding') === undefined;
      const echoed = findField(headers, idField);
      if (request.id !== undefined && echoed !== undefined && echoed !== request.id) {
        controller.abort(new Error('the answer belongs to another request'));
      }
    },
    onResponseData: (_controller, chunk) => {
      chunks.push(chunk);
    },
    onResponseEnd: () => {
      if (state.isUnframed) setImmediate(finishAnswer);
      else finishAnswer();
    },
    onResponseError: (_controller, error) => {
      settle({ type: isSent ? 'broken' : 'unsent', message: error.message });
    },
  };

  function finishAnswer(): void {
    // The library takes a reset for the end of an answer that ends with its connection.
    if (state.isReset) {
      settle({ type: 'broken', message: 'reset within the answer' });
      return;
    }
    const [first] = chunks;
    const body = chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks);
    settle({ type: 'answered', answer: { status, headers, body } });
  }
}

function decodeHeaders(raw: readonly Buffer[] | undefined): string[] {
  return (raw ?? []).map((item) => item.toString('latin1'));
}
