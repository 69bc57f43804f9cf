import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import { type Either, Left, Right } from 'purify-ts';
import type { ByteBudget } from './CactusdealSharedByteBudget.js';
import { type ByteCollectorOptions, createByteCollector } from './CactusdealSharedByteCollector.js';
import type { ChunkPacer, PausableSource } from './CactusdealSharedChunkPacer.js';
import { type Failure, formatError } from './CactusdealSharedFailure.js';

/** Why the body of a request or an answer was not collected. */
export const BodyFailureKind = {
  /** It has more bytes than are allowed. */
  TooLarge: 'BodyTooLarge',
  /** Other bodies leave no memory for it. */
  NoMemory: 'BodyNoMemory',
  /** It was not complete in time. */
  TimedOut: 'BodyTimedOut',
  /** The connection ended before the body did. */
  Incomplete: 'BodyIncomplete',
} as const;
export type BodyFailureKind = (typeof BodyFailureKind)[keyof typeof BodyFailureKind];
export type BodyFailure = Failure<BodyFailureKind>;

/** Memory of one body among others that share a budget. */
export interface BodyReservation extends ByteBudget {
  /** Calls `retry` from time to time until it returns true, which it does once it has found memory. */
  wait(retry: () => boolean): void;
  /** The body has ended. */
  leave(): void;
}

export interface CollectBodyOptions extends ByteCollectorOptions {
  readonly pacer?: ChunkPacer;
  /** Longest time until the body is complete, in milliseconds. */
  readonly timeoutMs?: number;
  /** Length that the sender announced; if it is above `maxBytes`, nothing is collected. */
  readonly announcedBytes?: number;
  /**
   * Lets the body wait, with its source paused, while the budget is used up; the body fails with
   * `NoMemory` when `refuse` is called.
   */
  readonly reserveBody?: (refuse: () => void) => BodyReservation;
}

/** Most bytes that are read and discarded after a failure, so that the sender sees the answer. */
const MAX_DISCARDED_BYTES = 1024 * 1024;

/**
 * Collects a whole body in bounded memory. After a failure the rest is read and discarded, because a sender
 * that is cut off while it writes may not see the answer: up to as many bytes as were allowed and 1 MB, then the
 * failure is returned and the connection should be closed.
 */
export function collectBody(
  source: Readable,
  options: CollectBodyOptions,
  pausable: PausableSource = source,
): Promise<Either<BodyFailure, Buffer>> {
  const { pacer, timeoutMs, announcedBytes = 0, reserveBody, ...limits } = options;
  const reservation = reserveBody?.(() =>
    settleFailed(BodyFailureKind.NoMemory, `no memory after ${receivedBytes} bytes`),
  );
  const collector = createByteCollector(
    reservation === undefined ? limits : { ...limits, budget: reservation, keepsOnShortage: true },
  );
  const pace = pacer?.watch(pausable);
  const maxDiscardedBytes = Math.min(limits.maxBytes, MAX_DISCARDED_BYTES);
  /** Chunks that wait for memory, in the order of their arrival. */
  const waiting: Buffer[] = [];
  let hasEnded = false;
  let receivedBytes = 0;
  let discardedBytes = 0;
  let failure: BodyFailure | undefined =
    announcedBytes > limits.maxBytes ? explainRefusal(announcedBytes) : undefined;
  let settle: (reason: BodyFailure | undefined) => void = () => {};
  return new Promise((resolve) => {
    settle = (reason) => {
      clearTimeout(timer);
      resolve(reason === undefined ? Right(collector.take()) : Left(reason));
      // What still arrives is discarded.
      failure ??= reason;
      waiting.length = 0;
      collector.discard();
      reservation?.leave();
    };
    const timer =
      timeoutMs === undefined
        ? undefined
        : setTimeout(
            () => settleFailed(BodyFailureKind.TimedOut, `not complete in ${timeoutMs} ms`),
            timeoutMs,
          );
    source.on('data', receive);
    source.once('end', () => {
      hasEnded = true;
      if (waiting.length === 0) settle(failure);
    });
    source.once('error', (error) => settleFailed(BodyFailureKind.Incomplete, formatError(error)));
    source.once('close', () => {
      pace?.close();
      if (!hasEnded)
        settleFailed(BodyFailureKind.Incomplete, `closed after ${receivedBytes} bytes`);
    });
  });

  function receive(chunk: Buffer): void {
    pace?.countChunk(chunk.length);
    receivedBytes += chunk.length;
    if (failure !== undefined) {
      discardedBytes += chunk.length;
      if (discardedBytes > maxDiscardedBytes) settle(failure);
    } else if (waiting.length > 0) waiting.push(chunk);
    else if (!collector.add(chunk)) handleRefusal(chunk);
  }

  function handleRefusal(chunk: Buffer): void {
    if (reservation === undefined || receivedBytes > limits.maxBytes) {
      failure = explainRefusal(receivedBytes);
      return;
    }
    waiting.push(chunk);
    pausable.pause();
    reservation.wait(addWaiting);
  }

  /** Adds the chunks that wait for memory; false if there is none yet. */
  function addWaiting(): boolean {
    for (let chunk = waiting[0]; chunk !== undefined; [chunk] = waiting) {
      if (!collector.add(chunk)) {
        if (receivedBytes <= limits.maxBytes) return false;
        failure = explainRefusal(receivedBytes);
        waiting.length = 0;
        break;
      }
      waiting.shift();
    }
    pausable.resume();
    if (hasEnded) settle(failure);
    return true;
  }

  function explainRefusal(bytes: number): BodyFailure {
    const { maxBytes } = limits;
    return bytes > maxBytes
      ? { kind: BodyFailureKind.TooLarge, message: `more than ${maxBytes} bytes` }
      : { kind: BodyFailureKind.NoMemory, message: `no memory after ${bytes} bytes` };
  }

  function settleFailed(kind: BodyFailureKind, message: string): void {
    settle(failure ?? { kind, message });
  }
}

/** Collects the body of a request that an HTTP server has received, like `collectBody`. */
export function collectRequestBody(
  request: IncomingMessage,
  options: CollectBodyOptions,
): Promise<Either<BodyFailure, Buffer>> {
  return collectBody(request, options, createPausableRequest(request));
}

/**
 * Pauses the connection. The parser hands out all that it has read; a paused request would buffer it
 * chunk by chunk, and one that is not paused resumes its connection whenever it asks for more. A resumption that
 * is scheduled would start reading again after a pause, so the pause takes effect behind it.
 */
export function createPausableRequest(request: IncomingMessage): PausableSource {
  const { socket, _read: readMore } = request;
  let isPaused = false;
  return {
    pause: () => {
      isPaused = true;
      Object.assign(request, { _read: () => {} });
      process.nextTick(() => {
        if (isPaused) socket.pause();
      });
    },
    resume: () => {
      isPaused = false;
      Object.assign(request, { _read: readMore });
      socket.resume();
    },
  };
}
