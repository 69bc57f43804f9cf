import type { IncomingMessage } from 'node:http';
import { findField } from './CactusdealRelayHeaders.js';

/**
 * The body of a request (undefined if it has none), or why it cannot be forwarded: too large, or
 * the connection closed before its end.
 */
export type ReadBody = Uint8Array | undefined | 'too-large' | 'gone';

const NO_BODY = new Uint8Array(0);

/** Whether the header announces a non-empty body. */
export function hasBody({ rawHeaders }: IncomingMessage): boolean {
  if (findField(rawHeaders, 'transfer-encoding') !== undefined) return true;
  return Number(findField(rawHeaders, 'content-length') ?? 0) > 0;
}

/** Reads the whole body; one larger than `maxBytes` is read to its end and discarded. */
export function readBody(request: IncomingMessage, maxBytes: number): Promise<ReadBody> {
  if (!hasBody(request)) {
    request.resume();
    const isAbsent = findField(request.rawHeaders, 'content-length') === undefined;
    return Promise.resolve(isAbsent ? undefined : NO_BODY);
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maxBytes) chunks.push(chunk);
    });
    request.on('end', () => resolve(size > maxBytes ? 'too-large' : Buffer.concat(chunks)));
    request.on('error', () => resolve('gone'));
    request.on('close', () => resolve('gone'));
  });
}
