import type { ServerResponse } from 'node:http';
import type { Log } from '@cactusdeal/shared';
import { findField, selectEndToEnd } from './CactusdealRelayHeaders.js';
import type { RoutedEnd } from './CactusdealRelayRouter.js';
import {
  type Answer,
  type HeaderNames,
  type NotRunReason,
  UnknownReason,
} from './CactusdealRelayTypes.js';

/** Writes what callers are told. */
export interface Responder {
  /** Tells how a call ended; says nothing to a caller that has left. */
  finish(response: ServerResponse, id: string | undefined, end: RoutedEnd): void;
  /** Refuses a call that was not run. */
  refuse(
    response: ServerResponse,
    id: string | undefined,
    reason: NotRunReason,
    retryAfterMs: number,
  ): void;
  answerNoRoute(response: ServerResponse, id: string | undefined): void;
  answerTooLarge(response: ServerResponse, id: string | undefined): void;
  /** Tells callers to leave with their next answer. */
  drain(): void;
}

export interface ResponderOptions {
  readonly names: HeaderNames;
  readonly getVersion: () => number | undefined;
  readonly log: Log;
}

const Status = {
  NotFound: 404,
  TooLarge: 413,
  TooMany: 429,
  BadGateway: 502,
  Unavailable: 503,
  TimedOut: 504,
} as const;
const MS_PER_SECOND = 1_000;
const NO_BODY = Buffer.alloc(0);
const NOT_FORWARDED: ReadonlySet<string> = new Set();

export function createResponder({ names, getVersion, log }: ResponderOptions): Responder {
  let isDraining = false;
  return {
    finish,
    refuse,
    answerNoRoute: (response, id) => answer(response, id, Status.NotFound, 'no-route'),
    answerTooLarge: (response, id) => answer(response, id, Status.TooLarge, 'body-too-large'),
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
      answer(response, id, isTimeout ? Status.TimedOut : Status.BadGateway, end.reason);
    }
  }

  function forward(
    response: ServerResponse,
    id: string | undefined,
    { status, headers: received, body }: Answer,
  ): void {
    if (status === Status.Unavailable || status === Status.TooMany) {
      // The upstream ran it; a caller would read this status as "not run".
      answer(response, id, Status.BadGateway, 'upstream-unavailable');
      return;
    }
    const headers = selectEndToEnd(received, NOT_FORWARDED);
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
    answer(response, id, Status.Unavailable, reason, ['retry-after', String(seconds)]);
  }

  function answer(
    response: ServerResponse,
    id: string | undefined,
    status: number,
    reason: string,
    extra: readonly string[] = [],
  ): void {
    log.info('call-refused', { call: id, status, reason, version: getVersion() });
    const headers = id === undefined ? [...extra] : [...extra, names.callId, id];
    write(response, status, headers, NO_BODY);
  }

  function write(
    response: ServerResponse,
    status: number,
    headers: string[],
    body: Uint8Array,
  ): void {
    if (isDraining) headers.push('connection', 'close');
    headers.push('content-length', String(body.byteLength));
    response.writeHead(status, headers);
    // The runtime sends the header and a string in one piece; a string of this encoding keeps every byte.
    response.end(toBuffer(body).toString('latin1'), 'latin1');
  }
}

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.isBuffer(bytes)
    ? bytes
    : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
