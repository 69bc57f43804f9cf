import { once } from 'node:events';
import { type Readable, Transform } from 'node:stream';
import { FailureError } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import type { AttemptBody } from './CactusdealTrafficAttempt.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import { type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** Largest body that is kept so that a retry can send it again. */
export const MAX_REPLAY_BYTES = 64 * 1024;

/** The body of a call, which one or more attempts send. */
export interface CallBody {
  /** The body for the next attempt. */
  take(): AttemptBody;
  /** Whether another attempt could send the whole body. */
  canTake(): boolean;
  /** Bytes that tell bodies apart: a small one whole, of a large one its beginning and length. */
  sample(): Promise<Buffer>;
}

/** Tells whether a stream broke because its body outgrew the route's limit. */
export function isBodyTooLarge(cause: unknown): boolean {
  return cause instanceof FailureError && cause.failure.kind === RefusalKind.BodyTooLarge;
}

/** What the head of a request says of its body. */
export interface BodyHead {
  readonly contentLength: number | undefined;
  readonly chunked: boolean;
}

const SAMPLE_BYTES = 256;
const EMPTY = Buffer.alloc(0);

/** Reads a small body whole, or prepares a large one for streaming. */
export async function readBody(
  source: Readable,
  head: BodyHead,
  maxBytes: number,
): Promise<Either<Refusal, CallBody>> {
  const { contentLength, chunked } = head;
  if (contentLength !== undefined && contentLength > maxBytes) {
    return Left(createTooLarge(maxBytes));
  }
  if (!chunked && (contentLength ?? 0) === 0) return Right(createBufferedBody(undefined));
  if (!chunked && (contentLength as number) <= MAX_REPLAY_BYTES) {
    const bytes = await readWhole(source, contentLength as number);
    return bytes === undefined ? Left(refuseBroken()) : Right(createBufferedBody(bytes));
  }
  return Right(createStreamedBody(source, maxBytes, contentLength));
}

const refuseBroken = (): Refusal =>
  createNotRun(RefusalKind.Cancelled, 'the request broke off before its end');

/** Creates a body that is in memory already. */
export function createBufferedBody(bytes: Buffer | undefined): CallBody {
  return {
    take: () => bytes,
    canTake: () => true,
    sample: () => Promise.resolve(bytes ?? EMPTY),
  };
}

/** Creates a body that passes through once, with back pressure, up to a limit. */
export function createStreamedBody(source: Readable, maxBytes: number, length?: number): CallBody {
  let taken = false;
  return {
    take: () => {
      taken = true;
      const limited = source.pipe(createLimit(maxBytes));
      limited.on('error', () => {});
      source.once('close', () => {
        if (!source.readableEnded) limited.destroy(new FailureError(refuseBroken()));
      });
      return limited;
    },
    canTake: () => !taken,
    sample: async () => {
      const first = await readFirstChunk(source);
      return Buffer.concat([first.subarray(0, SAMPLE_BYTES), Buffer.from(String(length))]);
    },
  };
}

/** Reads exactly `length` bytes; undefined when the source closes before. */
function readWhole(source: Readable, length: number): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let received = 0;
    source.once('close', () => resolve(undefined));
    source.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      received += chunk.length;
      if (received >= length) resolve(chunks.length === 1 ? chunk : Buffer.concat(chunks));
    });
  });
}

/** Looks at the first chunk and puts it back in the same turn, before the stream could end. */
async function readFirstChunk(source: Readable): Promise<Buffer> {
  for (;;) {
    const chunk = source.read() as Buffer | null;
    if (chunk !== null) {
      source.unshift(chunk);
      return chunk;
    }
    if (source.destroyed || source.readableEnded) return EMPTY;
    await Promise.race(['readable', 'end', 'close'].map((event) => once(source, event)));
  }
}

/** Passes bytes on until there are too many of them. */
function createLimit(maxBytes: number): Transform {
  let passed = 0;
  return new Transform({
    transform: (chunk: Buffer, _encoding, callback) => {
      passed += chunk.length;
      if (passed > maxBytes) callback(new FailureError(createTooLarge(maxBytes)));
      else callback(null, chunk);
    },
  });
}

const createTooLarge = (maxBytes: number): Refusal =>
  createNotRun(RefusalKind.BodyTooLarge, `the route takes ${maxBytes} bytes`);
