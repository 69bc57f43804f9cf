import type { Readable } from 'node:stream';
import { type ChunkPacer, FailureError, type SourcePace } from '@cactusdeal/shared';
import type { Dispatcher } from 'undici';
import { CallHeader, findHeader } from './CactusdealTrafficHeaders.js';
import { createRefusal, parseOutcome, parseRefusalKind } from './CactusdealTrafficRefusal.js';
import type { Refusal } from './CactusdealTrafficTypes.js';

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly (string | Buffer)[];
  /** Time that the call spent in the gate's queue and at the upstream, in milliseconds. */
  readonly upstreamMs: number;
}

/** Receives one response, for the caller's connection or for a program that embeds the library. */
export interface ResponseSink {
  /** Called first and once. `resume` requests more data after `write` has returned false. */
  start(head: ResponseHead, resume: () => void): void;
  /** Receives a part of the body; returns false to apply back pressure. */
  write(chunk: Buffer): boolean;
  /** The response is complete. */
  end(): void;
  /** The response was truncated; the receiver must not treat it as complete. */
  abort(cause: Error): void;
}

/** A request body: none, one held in memory, or a stream that can be read once. */
export type AttemptBody = Buffer | Readable | undefined;

/** One request to one gate or upstream. */
export interface Attempt {
  readonly dispatcher: Dispatcher;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: AttemptBody;
  readonly signal: AbortSignal;
  /** Maximum time between two parts of the response body, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Whether the receiver is a daemon, whose refusals and upstream times are parsed. */
  readonly toDaemon: boolean;
  /** Queueing delay before this attempt, in milliseconds. */
  readonly queuedMs: number;
  readonly sink: ResponseSink;
  readonly pacer: ChunkPacer;
  readonly clock: () => number;
}

/** How an attempt ended. */
export type AttemptResult =
  | {
      readonly type: 'answered';
      readonly status: number;
      readonly upstreamMs: number;
      readonly responseAtMs: number;
    }
  | { readonly type: 'refused'; readonly refusal: Refusal }
  | {
      readonly type: 'failed';
      /** Whether any byte of the request may have been written to a connection. */
      readonly sent: boolean;
      /** Whether the sink received the head of a response, which was then aborted. */
      readonly started: boolean;
      readonly cause: Error;
    };

const MAX_REFUSAL_BYTES = 4096;

/** An attempt that has been started. */
export interface RunningAttempt {
  /** Settles when the attempt has ended; never rejects. */
  readonly result: Promise<AttemptResult>;
  /** Cancels the attempt and closes its connection. */
  abandon(): void;
}

/**
 * Sends a request and streams the response to the sink. The request is sent at most once: if the HTTP
 * client starts it again on another connection, that one is aborted.
 */
export function startAttempt(attempt: Attempt): RunningAttempt {
  let abandon = (): void => {};
  const result = new Promise<AttemptResult>((resolve) => {
    const handler = new AttemptHandler(attempt, resolve);
    abandon = handler.abandon;
    if (attempt.signal.aborted) {
      handler.settleFailed(buildCancelledError());
      return;
    }
    try {
      attempt.dispatcher.dispatch(
        {
          method: attempt.method,
          path: attempt.path,
          headers: attempt.headers,
          body: attempt.body ?? null,
          idempotent: false,
          headersTimeout: 0,
          bodyTimeout: attempt.idleTimeoutMs,
        },
        handler,
      );
    } catch (caught) {
      handler.settleFailed(caught as Error);
    }
  });
  return { result, abandon };
}

const buildCancelledError = (): Error =>
  new FailureError({ kind: 'Cancelled', message: 'the attempt was cancelled' });

const buildRepeatedError = (): Error =>
  new FailureError({
    kind: 'Repeated',
    message: 'the HTTP client tried to send the request a second time',
  });

class AttemptHandler implements Dispatcher.DispatchHandler {
  private readonly startedAtMs: number;

  private controller: Dispatcher.DispatchController | undefined;

  private hasResponse = false;

  private isSettled = false;

  private status = 0;

  private upstreamMs = 0;

  private responseAtMs = 0;

  private refusalHead: readonly (string | Buffer)[] | undefined;

  private refusalChunks: Buffer[] = [];

  private refusalByteLength = 0;

  private pace: SourcePace | undefined;

  public constructor(
    private readonly attempt: Attempt,
    private readonly resolve: (result: AttemptResult) => void,
  ) {
    this.startedAtMs = attempt.clock();
    attempt.signal.addEventListener('abort', this.abandon, { once: true });
  }

  public onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.isSettled || this.controller !== undefined) {
      controller.abort(this.isSettled ? buildCancelledError() : buildRepeatedError());
      return;
    }
    this.controller = controller;
  }

  public onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (this.isSettled || status < 200) return;
    const raw = (controller.rawHeaders ?? []) as Buffer[];
    this.status = status;
    this.responseAtMs = this.attempt.clock();
    if (this.attempt.toDaemon && findHeader(raw, CallHeader.Refusal) !== undefined) {
      this.refusalHead = raw;
      return;
    }
    this.hasResponse = true;
    this.upstreamMs = this.computeUpstreamMs(raw);
    const head = { status, rawHeaders: raw, upstreamMs: this.upstreamMs };
    this.attempt.sink.start(head, () => controller.resume());
  }

  public onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.isSettled) return;
    this.pace ??= this.attempt.pacer.watch(controller);
    this.pace.countChunk(chunk.length);
    if (this.refusalHead !== undefined) {
      this.refusalByteLength += chunk.length;
      if (this.refusalByteLength <= MAX_REFUSAL_BYTES) this.refusalChunks.push(chunk);
      return;
    }
    if (!this.attempt.sink.write(chunk)) controller.pause();
  }

  public onResponseEnd(): void {
    if (this.isSettled) return;
    this.settle();
    if (this.refusalHead !== undefined) {
      const refusal = readRefusal(this.status, this.refusalHead, this.refusalChunks);
      this.resolve({ type: 'refused', refusal });
      return;
    }
    this.attempt.sink.end();
    const { status, upstreamMs, responseAtMs } = this;
    this.resolve({ type: 'answered', status, upstreamMs, responseAtMs });
  }

  public onResponseError(_controller: unknown, cause: Error): void {
    this.settleFailed(cause);
  }

  /** Ends the attempt without a complete response. */
  public settleFailed(cause: Error): void {
    if (this.isSettled) return;
    this.settle();
    if (this.hasResponse) this.attempt.sink.abort(cause);
    this.resolve({
      type: 'failed',
      sent: this.controller !== undefined,
      started: this.hasResponse,
      cause,
    });
  }

  private computeUpstreamMs(raw: readonly Buffer[]): number {
    const { toDaemon, queuedMs } = this.attempt;
    if (!toDaemon) return this.responseAtMs - this.startedAtMs + queuedMs;
    return Number(findHeader(raw, CallHeader.UpstreamMs)) || 0;
  }

  public readonly abandon = (): void => {
    const { controller } = this;
    const cause = buildCancelledError();
    this.settleFailed(cause);
    controller?.abort(cause);
  };

  private settle(): void {
    this.isSettled = true;
    this.pace?.close();
    this.attempt.signal.removeEventListener('abort', this.abandon);
  }
}

function readRefusal(
  status: number,
  head: readonly (string | Buffer)[],
  body: readonly Buffer[],
): Refusal {
  const kind = parseRefusalKind(findHeader(head, CallHeader.Refusal)) ?? 'UpstreamFailed';
  const outcome = parseOutcome(findHeader(head, CallHeader.Outcome));
  const { message, retryAfterMs } = parseRefusalBody(body);
  return { ...createRefusal(kind, message, outcome, retryAfterMs), status };
}

function parseRefusalBody(chunks: readonly Buffer[]): { message: string; retryAfterMs?: number } {
  try {
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8')) as Record<string, unknown>;
    const message = String(body.message ?? '');
    return typeof body.retryAfterMs === 'number'
      ? { message, retryAfterMs: body.retryAfterMs }
      : { message };
  } catch {
    return { message: 'refused by another daemon, without a readable message' };
  }
}
