import { connect, type Socket } from 'node:net';
import { type Clock, parseAddress } from '@cactusdeal/shared';
import { Client, type Dispatcher } from 'undici';
import { findField } from './CactusdealRelayHeaders.js';
import type { Answer } from './CactusdealRelayTypes.js';

/** A request to the upstream on this host. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  /** If the answer carries the field `idField`, its value must be this id. */
  readonly id: string | undefined;
}

/** How a request to the upstream ended. */
export type UpstreamEnd =
  | { readonly type: 'answered'; readonly answer: Answer }
  /** No byte was sent. */
  | { readonly type: 'unsent'; readonly message: string }
  /** The request was sent, but no complete, valid answer to it arrived. */
  | { readonly type: 'broken'; readonly message: string };

/** A request in progress. */
export interface UpstreamCall {
  readonly end: Promise<UpstreamEnd>;
  /** Closes the connection, so that the upstream stops working on the request. */
  cancel(): void;
}

/** Pool of connections to the upstream on this host, each with one request at a time. */
export interface UpstreamPool {
  send(request: UpstreamRequest): UpstreamCall;
  close(): void;
}

export interface UpstreamPoolOptions {
  /** `IP:PORT` of the upstream. */
  readonly address: string;
  /** Header field, in lower case, in which the upstream echoes the id of a request. */
  readonly idField: string;
  readonly clock: Clock;
}

interface ConnectionState {
  /** Whether the upstream has reset the connection. */
  isReset: boolean;
  /**
   * Whether the current answer has neither a length nor chunks, so that it ends with the
   * connection.
   */
  endsWithConnection: boolean;
}

interface Connection {
  readonly client: Client;
  readonly state: ConnectionState;
}

const CONNECT_TIMEOUT_MS = 1_000;
const RESET_CODES: readonly string[] = ['ECONNRESET', 'EPIPE'];
/**
 * Shorter than upstreams keep idle connections open, so that none closes one just as a request is
 * sent on it.
 */
const IDLE_TIMEOUT_MS = 3_000;
/**
 * How long connections are not reused after a broken request, as data that belongs to no request
 * may arrive on them too.
 */
const NO_REUSE_MS = 10_000;

/** Creates an empty pool. A connection is closed as soon as a request on it fails. */
export function createUpstreamPool(options: UpstreamPoolOptions): UpstreamPool {
  const idleConnections: Connection[] = [];
  const openConnections = new Set<Connection>();
  let noReuseUntilMs = 0;
  return {
    send,
    close: () => {
      openConnections.forEach((connection) => discard(connection));
    },
  };

  function openClient(): Connection {
    const state = { isReset: false, endsWithConnection: false };
    const client = new Client(`http://${options.address}`, {
      pipelining: 1,
      connect: (_, callback) => openSocket(options.address, state, callback),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const connection = { client, state };
    openConnections.add(connection);
    client.on('disconnect', () => discard(connection));
    return connection;
  }

  function takeConnection(): Connection {
    for (;;) {
      const connection = idleConnections.pop();
      if (connection === undefined) return openClient();
      if (!connection.client.destroyed) return connection;
    }
  }

  function discard(connection: Connection): void {
    const index = idleConnections.indexOf(connection);
    if (index >= 0) idleConnections.splice(index, 1);
    openConnections.delete(connection);
    if (!connection.client.destroyed) void connection.client.destroy();
  }

  function releaseConnection(connection: Connection): void {
    if (options.clock() < noReuseUntilMs) discard(connection);
    else if (openConnections.has(connection)) idleConnections.push(connection);
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
            noReuseUntilMs = options.clock() + NO_REUSE_MS;
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

/** Opens a socket and records a reset by the upstream in `connectionState`. */
function openSocket(
  address: string,
  connectionState: ConnectionState,
  callback: (...result: [Error, null] | [null, Socket]) => void,
): void {
  const state = connectionState;
  const { host, port } = parseAddress(address);
  const socket = connect({ host, port, noDelay: true, allowHalfOpen: true });
  const timer = setTimeout(
    () =>
      socket.destroy(
        new Error(`connecting to ${address} took longer than ${CONNECT_TIMEOUT_MS} ms`),
      ),
    CONNECT_TIMEOUT_MS,
  );
  let isOpen = false;
  socket.on('error', (error) => {
    recordReset(state, error);
    clearTimeout(timer);
    if (!isOpen) callback(error, null);
  });
  socket.on('end', () => {
    if (state.endsWithConnection) probeReset(socket, state);
    else socket.end();
  });
  socket.on('connect', () => {
    isOpen = true;
    clearTimeout(timer);
    callback(null, socket);
  });
}

/**
 * Detects a reset by writing: the runtime reports a reset that arrives together with data as an
 * orderly end, but a write after a reset fails at once. HTTP servers ignore an empty line before a
 * request, so the write is harmless otherwise.
 */
function probeReset(socket: Socket, connectionState: ConnectionState): void {
  socket.write('\r\n', (error) => recordReset(connectionState, error));
}

function recordReset(connectionState: ConnectionState, error: Error | null | undefined): void {
  const state = connectionState;
  const { code = '' } = (error ?? {}) as { code?: string };
  if (RESET_CODES.includes(code)) state.isReset = true;
}

function createHandler(
  request: UpstreamRequest,
  idField: string,
  connectionState: ConnectionState,
  settle: (end: UpstreamEnd) => void,
): Dispatcher.DispatchHandler {
  const state = connectionState;
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
      state.endsWithConnection =
        findField(headers, 'content-length') === undefined &&
        findField(headers, 'transfer-encoding') === undefined;
      const echoed = findField(headers, idField);
      if (request.id !== undefined && echoed !== undefined && echoed !== request.id) {
        controller.abort(new Error(`answer to request ${echoed}, expected one to ${request.id}`));
      }
    },
    onResponseData: (_controller, chunk) => {
      chunks.push(chunk);
    },
    onResponseEnd: () => {
      if (state.endsWithConnection) setImmediate(finishAnswer);
      else finishAnswer();
    },
    onResponseError: (_controller, error) => {
      settle({ type: isSent ? 'broken' : 'unsent', message: error.message });
    },
  };

  function finishAnswer(): void {
    // The HTTP client takes a reset for the regular end of an answer that ends with its connection.
    if (state.isReset) {
      settle({ type: 'broken', message: 'connection was reset before the end of the answer' });
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
