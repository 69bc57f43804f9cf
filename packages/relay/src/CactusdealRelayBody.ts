import type { IncomingMessage } from 'node:http';
import { type BodyFailure, type CollectBodyOptions, collectRequestBody } from '@cactusdeal/shared';
import { type Either, Right } from 'purify-ts';
import { findField } from './CactusdealRelayHeaders.js';

/** The body of a request, undefined if it has none. */
export type ReadBody = Either<BodyFailure, Uint8Array | undefined>;

const NO_BODY = new Uint8Array(0);

/** Whether the header announces a non-empty body. */
export function hasBody({ rawHeaders }: IncomingMessage): boolean {
  if (findField(rawHeaders, 'transfer-encoding') !== undefined) return true;
  return Number(findField(rawHeaders, 'content-length') ?? 0) > 0;
}

/** Reads the whole body; `getOptions` is called if there is one. */
export function readBody(
  request: IncomingMessage,
  getOptions: () => CollectBodyOptions,
): Promise<ReadBody> {
  if (!hasBody(request)) {
    request.resume();
    const isAbsent = findField(request.rawHeaders, 'content-length') === undefined;
    return Promise.resolve(Right(isAbsent ? undefined : NO_BODY));
  }
  const announcedBytes = Number(findField(request.rawHeaders, 'content-length') ?? 0);
  return collectRequestBody(request, { ...getOptions(), announcedBytes });
}
