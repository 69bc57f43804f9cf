import type { Socket } from 'node:net';

/** Statuses that responses may have; RFC 9110 section 15. */
const MIN_STATUS = 100;
const MAX_STATUS = 599;
/** Statuses of responses without a body; RFC 9112 section 6.3. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const CHUNKED_PATTERN = /(?:^|,)[ \t]*chunked[ \t]*$/i;

/** Says why a response with this status is invalid; undefined if it is not. */
export function explainInvalidStatus(status: number): string | undefined {
  if (status >= MIN_STATUS && status <= MAX_STATUS) return undefined;
  return `status ${status}, allowed: ${MIN_STATUS} to ${MAX_STATUS}`;
}

/**
 * Whether the body of a response ends with its connection, as nothing in its head says where it ends
 * (RFC 9112 section 6.3). `findField` finds the value of a field by its name in lower case.
 */
export function isEndedByClose(
  method: string,
  status: number,
  findField: (name: string) => string | undefined,
): boolean {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) return false;
  const codings = findField('transfer-encoding');
  if (codings !== undefined) return !CHUNKED_PATTERN.test(codings);
  return findField('content-length') === undefined;
}

/** Finds out whether a response that ends with its connection is whole. */
export interface ConnectionEndWatch {
  /**
   * Says why a response that ended with the connection may be truncated; undefined if it is whole. To be asked
   * one turn of the event loop after the end.
   */
  explainTruncation(): string | undefined;
}

/**
 * Watches how the connection of an HTTP client ends; to be called before the HTTP client adds its listeners to
 * the socket.
 *
 * The runtime reports a reset that arrives together with data as an orderly end, but a write after a reset fails
 * at once. So an empty line, which HTTP servers ignore before a request, is written at the end of a response for
 * which `isEndedByClose` holds; after any other response this side is ended too. A peer that ends the connection
 * before it was sent the whole request may reset it afterwards. The kernel's part of the request counts as sent.
 */
export function watchConnectionEnd(
  socket: Socket,
  isResponseEndedByClose: () => boolean,
): ConnectionEndWatch {
  let unwrittenBytes: number | undefined;
  let failure: string | undefined;
  const recordFailure = (error: Error | null | undefined): void => {
    const { code } = (error ?? {}) as { code?: string };
    // The HTTP client itself destroys the socket after the response, with the empty line still unwritten.
    if (error && code !== 'ERR_STREAM_DESTROYED' && code !== 'UND_ERR_INFO') {
      failure ??= `connection failed before the end of the response: ${error.message}`;
    }
  };
  socket.on('error', recordFailure);
  socket.once('end', () => {
    unwrittenBytes = socket.writableLength;
    if (isResponseEndedByClose()) socket.write('\r\n', recordFailure);
    else socket.end();
  });
  return {
    explainTruncation: () => {
      if (failure !== undefined) return failure;
      if (unwrittenBytes === undefined) return 'connection closed without an orderly end';
      if (unwrittenBytes === 0) return undefined;
      return `connection ended while ${unwrittenBytes} bytes of the request were not written`;
    },
  };
}
