import { type ByteBudget, type ChunkPacer, type Clock, createByteBudget } from '@cactusdeal/shared';
import { Client } from 'undici';
import { MAX_ANSWERS_BYTES } from './CactusdealRelayMemory.js';
import type { Answer } from './CactusdealRelayTypes.js';
import { createHandler, MAX_ANSWER_BYTES } from './CactusdealRelayUpstreamAnswer.js';
import {
  type ConnectionState,
  createConnectionState,
  openSocket,
} from './CactusdealRelayUpstreamSocket.js';

/** A request to the upstream on this host. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  /**
   * Id that the field `idField` of the answer must have; only the first answer of a connection may
   * lack the field.
   */
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
  readonly pacer: ChunkPacer;
  /** Room for unfinished answers. */
  readonly heldBytes?: ByteBudget | undefined;
}

interface Connection {
  readonly client: Client;
  readonly state: ConnectionState;
}

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

/** Largest head of an answer, in bytes. */
const MAX_HEAD_BYTES = 16 * 1024;

/**
 * Creates an empty pool. A connection is closed as soon as a request on it fails, and after an answer that
 * does not name its request.
 */
export function createUpstreamPool(options: UpstreamPoolOptions): UpstreamPool {
  const idleConnections: Connection[] = [];
  const openConnections = new Set<Connection>();
  const { pacer, heldBytes = createByteBudget(MAX_ANSWERS_BYTES) } = options;
  let noReuseUntilMs = 0;
  return {
    send,
    close: () => openConnections.forEach((connection) => discard(connection)),
  };

  function openClient(): Connection {
    const state = createConnectionState();
    const client = new Client(`http://${options.address}`, {
      pipelining: 1,
      connect: (_, callback) => openSocket(options.address, state, callback),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEAD_BYTES,
      maxResponseSize: MAX_ANSWER_BYTES,
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
      if (isOpen(connection)) return connection;
      discard(connection);
    }
  }

  function discard(connection: Connection): void {
    const index = idleConnections.indexOf(connection);
    if (index >= 0) idleConnections.splice(index, 1);
    openConnections.delete(connection);
    if (!connection.client.destroyed) void connection.client.destroy();
  }

  function releaseConnection(connection: Connection): void {
    const { isNamed, socket } = connection.state;
    // The rest of a request that was answered early would be in front of the next request.
    const isWritten = socket?.writableLength === 0;
    const isReusable = isNamed && isWritten && options.clock() >= noReuseUntilMs;
    if (!isReusable) discard(connection);
    else if (openConnections.has(connection)) idleConnections.push(connection);
  }

  function send(request: UpstreamRequest): UpstreamCall {
    const connection = request.id === undefined ? openClient() : takeConnection();
    const { client, state } = connection;
    let isCancelled = false;
    const end = new Promise<UpstreamEnd>((resolve) => {
      const context = { state, heldBytes, pacer };
      const handler = createHandler(request, options.idField, context, (result) => {
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

/**
 * Whether the connection can take another request. After an answer that announces the end of its connection
 * the socket is destroyed at once, and the client is notified later.
 */
function isOpen({ client, state }: Connection): boolean {
  return !client.destroyed && state.socket?.destroyed === false;
}
