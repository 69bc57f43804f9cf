import { once } from 'node:events';
import { type Readable, Transform } from 'node:stream';
import { collectBody, FailureError, type SourcePace } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import type { AttemptBody } from './CactusdealTrafficAttempt.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import { type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** Size in bytes up to which a body is kept in memory, so that a retry can send it again. */
export const MAX_REPLAY_BYTES = 64 * 1024;

/** The body of a call, sent by one or more attempts. */
export interface CallBody {
  /** Returns the body for the next attempt. */
  take(): AttemptBody;
  /** Whether a further attempt could send the complete body. */
  canTake(): boolean;
  /** Bytes that identify the body: all of a small one, the first bytes and length of a large one. */
  sample(): Promise<Buffer>;
}

/** Whether a stream failed because its body exceeded the route's limit. */
export function isBodyTooLarge(cause: unknown): boolean {
  return cause instanceof FailureError && cause.failure.kind === RefusalKind.BodyTooLarge;
}

/** How the head of a request delimits its body. */
export interface BodyFraming {
  readonly contentLength: number | undefined;
  readonly chunked: boolean;
}

const MAX_SAMPLE_BYTES = 256;
const EMPTY_BUFFER = Buffer.alloc(0);

/** Reads a small body into memory, or prepares a large one for streaming. */
export async function readBody(
  source: Readable,
  framing: BodyFraming,
  maxBytes: number,
  pace?: Pick<SourcePace, 'countChunk'>,
): Promise<Either<Refusal, CallBody>> {
  const { contentLength, chunked } = framing;
  if (contentLength !== undefined && contentLength > maxBytes) {
    return Left(buildTooLargeRefusal(maxBytes));
  }
  if (!chunked && (contentLength ?? 0) === 0) return Right(createBufferedBody(undefined));
  if (!chunked && (contentLength as number) <= MAX_REPLAY_BYTES) {
    source.on('data', ({ length }: Buffer) => pace?.countChunk(length));
    const collected = await collectBody(source, { maxBytes: MAX_REPLAY_BYTES });
    return collected.bimap(buildBrokenRefusal, createBufferedBody);
  }
  return Right(createStreamedBody(source, maxBytes, contentLength, pace));
}

const buildBrokenRefusal = (): Refusal =>
  createNotRun(
    RefusalKind.Cancelled,
    'the caller closed the connection before the end of the request body',
  );

/** Creates a body that is in memory; it can be sent any number of times. */
export function createBufferedBody(bytes: Buffer | undefined): CallBody {
  return {
    take: () => bytes,
    canTake: () => true,
    sample: () => Promise.resolve(bytes ?? EMPTY_BUFFER),
  };
}

/** Creates a body that is streamed once, with back pressure, and fails above `maxBytes`. */
export function createStreamedBody(
  source: Readable,
  maxBytes: number,
  length?: number,
  pace?: Pick<SourcePace, 'countChunk'>,
): CallBody {
  let isTaken = false;
  return {
    take: () => {
      isTaken = true;
      const limited = source.pipe(createSizeLimit(maxBytes, pace));
      limited.on('error', () => {});
      source.once('close', () => {
        if (!source.readableEnded) limited.destroy(new FailureError(buildBrokenRefusal()));
      });
      return limited;
    },
    canTake: () => !isTaken,
    sample: async () => {
      const first = await readFirstChunk(source);
      return Buffer.concat([first.subarray(0, MAX_SAMPLE_BYTES), Buffer.from(String(length))]);
    },
  };
}

/** Reads the first chunk and unshifts it in the same turn, before the stream can end. */
async function readFirstChunk(source: Readable): Promise<Buffer> {
  for (;;) {
    const chunk = source.read() as Buffer | null;
    if (chunk !== null) {
      source.unshift(chunk);
      return chunk;
    }
    if (source.destroyed || source.readableEnded) return EMPTY_BUFFER;
    await Promise.race(['readable', 'end', 'close'].map((event) => once(source, event)));
  }
}

/** Creates a stream that fails with `BodyTooLarge` after more than `maxBytes`. */
function createSizeLimit(maxBytes: number, pace?: Pick<SourcePace, 'countChunk'>): Transform {
  let passed = 0;
  return new Transform({
    transform: (chunk: Buffer, _encoding, callback) => {
      pace?.countChunk(chunk.length);
      passed += chunk.length;
      if (passed > maxBytes) callback(new FailureError(buildTooLargeRefusal(maxBytes)));
      else callback(null, chunk);
    },
  });
}

const buildTooLargeRefusal = (maxBytes: number): Refusal =>
  createNotRun(RefusalKind.BodyTooLarge, `the body exceeds the route's limit of ${maxBytes} bytes`);
