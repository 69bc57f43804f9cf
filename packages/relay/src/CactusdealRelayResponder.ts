import type { ServerResponse } from 'node:http';
import { type Log, toBuffer } from '@cactusdeal/shared';
import { findField, selectEndToEnd } from './CactusdealRelayHeaders.js';
import type { RoutedEnd } from './CactusdealRelayRouter.js';
import {
  type Answer,
  type HeaderNames,
  type NotRunReason,
  UnknownReason,
} from './CactusdealRelayTypes.js';

/** Writes the responses to callers. */
export interface Responder {
  /** Responds with the end of a call; does nothing if the caller has disconnected. */
  finish(response: ServerResponse, id: string | undefined, end: RoutedEnd): void;
  /** Responds that the call was not run and may be retried after the delay. */
  refuse(
    response: ServerResponse,
    id: string | undefined,
    reason: NotRunReason,
    retryAfterMs: number,
  ): void;
  /** Responds that the call names no API key that the configuration knows, or none where it needs one. */
  answerUnauthorised(response: ServerResponse, id: string | undefined): void;
  /** Responds that the quota of the caller's organisation is used up for the delay. */
  refuseOverQuota(response: ServerResponse, id: string | undefined, retryAfterMs: number): void;
  answerNoRoute(response: ServerResponse, id: string | undefined): void;
  answerTooLarge(response: ServerResponse, id: string | undefined): void;
  /** Responds that the body was not complete in time, so that the call was not run. */
  answerBodyTimeout(response: ServerResponse, id: string | undefined): void;
  /** Closes each caller's connection with its next response. */
  drain(): void;
}

export interface ResponderOptions {
  readonly names: HeaderNames;
  readonly getVersion: () => number | undefined;
  readonly log: Log;
}

const HttpStatus = {
  Unauthorised: 401,
  NotFound: 404,
  RequestTimeout: 408,
  TooLarge: 413,
  TooMany: 429,
  BadGateway: 502,
  Unavailable: 503,
  TimedOut: 504,
} as const;
const MS_PER_SECOND = 1_000;
/** RFC 9110 section 11.6.1 requires a challenge in each response with status 401. */
const CHALLENGE: readonly string[] = ['www-authenticate', 'Bearer'];
const NO_BODY = Buffer.alloc(0);
/** Largest body that is written as a string. */
const MAX_STRING_BYTES = 16 * 1024;
const NO_FIELDS: ReadonlySet<string> = new Set();

export function createResponder({ names, getVersion, log }: ResponderOptions): Responder {
  let isDraining = false;
  return {
    finish,
    refuse,
    answerUnauthorised: (response, id) =>
      answer(response, id, HttpStatus.Unauthorised, 'unauthorised', CHALLENGE),
    refuseOverQuota,
    answerNoRoute: (response, id) => answer(response, id, HttpStatus.NotFound, 'no-route'),
    answerTooLarge: (response, id) => answer(response, id, HttpStatus.TooLarge, 'body-too-large'),
    answerBodyTimeout: (response, id) =>
      answer(response, id, HttpStatus.RequestTimeout, 'body-timed-out'),
    drain: () => {
      isDraining = true;
    },
  };

  function finish(response: ServerResponse, id: string | undefined, end: RoutedEnd): void {
    if (response.destroyed || response.socket?.destroyed === true) return;
    if (end.type === 'answered') forward(response, id, end.answer);
    else if (end.type === 'not-run') refuse(response, id, end.reason, end.retryAfterMs);
    else {
      const isTimeout = end.reason === UnknownReason.TimedOut;
      answer(response, id, isTimeout ? HttpStatus.TimedOut : HttpStatus.BadGateway, end.reason);
    }
  }

  function forward(
    response: ServerResponse,
    id: string | undefined,
    { status, headers: received, body }: Answer,
  ): void {
    if (status === HttpStatus.Unavailable || status === HttpStatus.TooMany) {
      // The upstream ran the call, but callers take these statuses to mean "not run".
      answer(response, id, HttpStatus.BadGateway, 'upstream-unavailable');
      return;
    }
    const headers = selectEndToEnd(received, NO_FIELDS);
    if (id !== undefined && findField(headers, names.callId) === undefined) {
      headers.push(names.callId, id);
    }
    write(response, status, headers, body);
  }

  function refuse(
    response: ServerResponse,
    id: string | undefined,
    reason: NotRunReason,
    retryAfterMs: number,
  ): void {
    const seconds = Math.max(0, retryAfterMs) / MS_PER_SECOND;
    answer(response, id, HttpStatus.Unavailable, reason, ['retry-after', String(seconds)]);
  }

  /** Not logged, as an organisation far beyond its quota would fill the log; its throttling is logged. */
  function refuseOverQuota(
    response: ServerResponse,
    id: string | undefined,
    retryAfterMs: number,
  ): void {
    const headers = ['retry-after', String(retryAfterMs / MS_PER_SECOND)];
    if (id !== undefined) headers.push(names.callId, id);
    write(response, HttpStatus.TooMany, headers, NO_BODY);
  }

  function answer(
    response: ServerResponse,
    id: string | undefined,
    status: number,
    reason: string,
    extraHeaders: readonly string[] = [],
  ): void {
    log.info('call-refused', { call: id, status, reason, version: getVersion() });
    const headers = id === undefined ? [...extraHeaders] : [...extraHeaders, names.callId, id];
    write(response, status, headers, NO_BODY);
  }

  function write(
    response: ServerResponse,
    status: number,
    headers: string[],
    body: Uint8Array,
  ): void {
    const isIncomplete = !response.req.complete;
    if (isDraining || isIncomplete) headers.push('connection', 'close');
    headers.push('content-length', String(body.byteLength));
    response.writeHead(status, headers);
    // The runtime writes the header and a string body in one piece, unlike a buffer; latin1 keeps
    // every byte. The copies that it makes of a long string cost more than a second piece.
    if (body.byteLength > MAX_STRING_BYTES) response.end(body);
    else response.end(toBuffer(body).toString('latin1'), 'latin1');
  }
}
