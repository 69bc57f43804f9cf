import type { Clock } from '@cactusdeal/shared';
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

const CONNECT_TIMEOUT_MS = 1_000;
/** Shorter than upstreams keep idle connections, so that none is closed as a request is sent. */
const IDLE_MS = 3_000;
/** How long no connection is used twice after one brought what belongs to no request. */
const DISTRUST_MS = 10_000;

/** Creates the pool; a connection on which anything unexpected came is closed. */
export function createUpstreamPool(options: UpstreamPoolOptions): UpstreamPool {
  const idle: Client[] = [];
  const all = new Set<Client>();
  let distrustedUntilMs = 0;
  return {
    send,
    close: () => {
      all.forEach((client) => discard(client));
    },
  };

  function openClient(): Client {
    const client = new Client(`http://${options.address}`, {
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: IDLE_MS,
      keepAliveMaxTimeout: IDLE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    all.add(client);
    client.on('disconnect', () => discard(client));
    return client;
  }

  function takeClient(): Client {
    for (;;) {
      const client = idle.pop();
      if (client === undefined) return openClient();
      if (!client.destroyed) return client;
    }
  }

  function discard(client: Client): void {
    const index = idle.indexOf(client);
    if (index >= 0) idle.splice(index, 1);
    all.delete(client);
    if (!client.destroyed) client.destroy();
  }

  function releaseClient(client: Client): void {
    if (options.clock() < distrustedUntilMs) discard(client);
    else if (all.has(client)) idle.push(client);
  }

  function send(request: UpstreamRequest): UpstreamCall {
    const client = takeClient();
    let isCancelled = false;
    const end = new Promise<UpstreamEnd>((resolve) => {
      const handler = createHandler(request, options.idField, (result) => {
        if (result.type === 'answered') releaseClient(client);
        else {
          if (result.type === 'broken' && !isCancelled) {
            distrustedUntilMs = options.clock() + DISTRUST_MS;
          }
          discard(client);
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
        discard(client);
      },
    };
  }
}

function createHandler(
  request: UpstreamRequest,
  idField: string,
  settle: (end: UpstreamEnd) => void,
): Dispatcher.DispatchHandler {
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
      const echoed = findField(headers, idField);
      if (request.id !== undefined && echoed !== undefined && echoed !== request.id) {
        controller.abort(new Error('the answer belongs to another request'));
      }
    },
    onResponseData: (_controller, chunk) => {
      chunks.push(chunk);
    },
    onResponseEnd: () => {
      const [first] = chunks;
      const body = chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks);
      settle({ type: 'answered', answer: { status, headers, body } });
    },
    onResponseError: (_controller, error) => {
      settle({ type: isSent ? 'broken' : 'unsent', message: error.message });
    },
  };
}

function decodeHeaders(raw: readonly Buffer[] | undefined): string[] {
  return (raw ?? []).map((item) => item.toString('latin1'));
}
