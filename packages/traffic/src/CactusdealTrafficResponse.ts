import type { ServerResponse } from 'node:http';
import type { AnswerSink } from './CactusdealTrafficAttempt.js';
import { CallHeader, selectEndToEnd } from './CactusdealTrafficHeaders.js';
import { toRetryAfterSeconds } from './CactusdealTrafficRefusal.js';
import { CallOutcome, type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** Creates a sink that passes an answer on to a caller's connection. */
export function createResponseSink(response: ServerResponse): AnswerSink {
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

/** Answers a call that the system refuses; nothing when the answer has begun or the caller left. */
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
  if (!response.req.complete) discardRest(response, kind);
  response.end(body);
}

/**
 * Reads on what the caller still sends, as closing under it would reset the connection before the
 * refusal is read. A body that is too large is not read on.
 */
function discardRest(response: ServerResponse, kind: RefusalKind): void {
  if (kind === RefusalKind.BodyTooLarge) {
    response.setHeader('connection', 'close');
    return;
  }
  response.req.unpipe();
  response.req.resume();
}
