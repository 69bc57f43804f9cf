import type { ServerResponse } from 'node:http';
import type { ResponseSink } from './CactusdealTrafficAttempt.js';
import { CallHeader, selectEndToEnd } from './CactusdealTrafficHeaders.js';
import { toRetryAfterSeconds } from './CactusdealTrafficRefusal.js';
import { CallOutcome, type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** Creates a sink that forwards a response to the caller's connection. */
export function createResponseSink(response: ServerResponse): ResponseSink {
  return {
    start: ({ status, rawHeaders, upstreamMs }, resume) => {
      response.on('drain', resume);
      const headers = selectEndToEnd(rawHeaders);
      headers.push(CallHeader.Outcome, CallOutcome.Completed);
      headers.push(CallHeader.UpstreamMs, upstreamMs.toFixed(3));
      if (response.hasHeader('connection')) headers.push('connection', 'close');
      response.writeHead(status, headers);
    },
    write: (chunk) => response.write(chunk),
    end: () => response.end(),
    abort: () => response.destroy(),
  };
}

/** Sends a refusal, unless the response has begun or the caller has disconnected. */
export function sendRefusal(response: ServerResponse, refusal: Refusal): void {
  if (response.headersSent || response.destroyed) return;
  const { kind, message, outcome, retryAfterMs } = refusal;
  const body = JSON.stringify({ kind, message, outcome, retryAfterMs });
  response.statusCode = refusal.status;
  response.setHeader('content-type', 'application/json');
  response.setHeader('content-length', Buffer.byteLength(body));
  response.setHeader(CallHeader.Refusal, kind);
  response.setHeader(CallHeader.Outcome, outcome);
  if (retryAfterMs !== undefined) {
    response.setHeader('retry-after', toRetryAfterSeconds(retryAfterMs));
  }
  if (!response.req.complete) discardRequestBody(response, kind);
  response.end(body);
}

/**
 * Reads and discards the rest of the request body: closing the connection while the caller still
 * sends would reset it before the caller has read the refusal. A too large body is not read to its
 * end; its connection is closed.
 */
function discardRequestBody(response: ServerResponse, kind: RefusalKind): void {
  if (kind === RefusalKind.BodyTooLarge) {
    response.setHeader('connection', 'close');
    return;
  }
  response.req.unpipe();
  response.req.resume();
}
