import type { Readable } from 'node:stream';
import { FailureError } from '@cactusdeal/shared';
import type { Dispatcher } from 'undici';
import { CallHeader, findHeader } from './CactusdealTrafficHeaders.js';
import { createRefusal, parseOutcome, parseRefusalKind } from './CactusdealTrafficRefusal.js';
import type { Refusal } from './CactusdealTrafficTypes.js';

/** The beginning of an answer. */
export interface AnswerHead {
  readonly status: number;
  /** Alternating names and values, as they arrived. */
  readonly rawHeaders: readonly (string | Buffer)[];
  /** Time that the call spent in the gate's queue and in the upstream, in milliseconds. */
  readonly upstreamMs: number;
}

/** Receives one answer; a receiver of the caller's connection or of a program that embeds us. */
export interface AnswerSink {
  /** The head, exactly once and first. `resume` asks for more after `write` said false. */
  start(head: AnswerHead, resume: () => void): void;
  /** One part of the body; false when the receiver wants no more for now. */
  write(chunk: Buffer): boolean;
  /** The whole answer arrived. */
  end(): void;
  /** The answer was cut short; the receiver must not take it for a whole one. */
  abort(cause: Error): void;
}

/** A request body: none, small and whole in memory, or a stream that can be read once. */
export type AttemptBody = Buffer | Readable | undefined;

/** One request on its way to one place. */
export interface Attempt {
  readonly dispatcher: Dispatcher;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: AttemptBody;
  readonly signal: AbortSignal;
  /** Longest silence within the answer's body, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Whether the other end is a daemon, whose refusals and times are read. */
  readonly toDaemon: boolean;
  /** Wait in the queue before this attempt, in milliseconds. */
  readonly queuedMs: number;
  readonly sink: AnswerSink;
  readonly clock: () => number;
}

/** How an attempt ended. */
export type AttemptResult =
  | { readonly type: 'answered'; readonly upstreamMs: number; readonly headAtMs: number }
  | { readonly type: 'refused'; readonly refusal: Refusal }
  | {
      readonly type: 'failed';
      /** Whether a byte of the request may have been written to a connection. */
      readonly sent: boolean;
      /** Whether the sink was given the head of an answer, which it then had to abort. */
      readonly started: boolean;
      readonly cause: Error;
    };

const MAX_REFUSAL_BYTES = 4096;

/** An attempt that has been started. */
export interface RunningAttempt {
  /** Settles when the attempt has ended; never rejects. */
  readonly result: Promise<AttemptResult>;
  /** Gives the attempt up and closes its connection. */
  abandon(): void;
}

/**
 * Sends a request and passes the answer to the sink as it arrives. A request goes out at most once: a
 * connection that would repeat it is aborted.
 */
export function startAttempt(attempt: Attempt): RunningAttempt {
  let abandon = (): void => {};
  const result = new Promise<AttemptResult>((resolve) => {
    const handler = new AttemptHandler(attempt, resolve);
    abandon = handler.abandon;
    if (attempt.signal.aborted) {
      handler.finishFailed(createCancelled());
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
      handler.finishFailed(caught as Error);
    }
  });
  return { result, abandon };
}

const createCancelled = (): Error =>
  new FailureError({ kind: 'Cancelled', message: 'the answer is not wanted any more' });

const createRepeated = (): Error =>
  new FailureError({ kind: 'Repeated', message: 'a second connection would repeat the request' });

class AttemptHandler implements Dispatcher.DispatchHandler {
  private readonly startedAtMs: number;

  private controller: Dispatcher.DispatchController | undefined;

  private started = false;

  private done = false;

  private status = 0;

  private upstreamMs = 0;

  private headAtMs = 0;

  private refusalHead: readonly (string | Buffer)[] | undefined;

  private refusalBytes: Buffer[] = [];

  private refusalLength = 0;

  public constructor(
    private readonly attempt: Attempt,
    private readonly resolve: (result: AttemptResult) => void,
  ) {
    this.startedAtMs = attempt.clock();
    attempt.signal.addEventListener('abort', this.abandon, { once: true });
  }

  public onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.done || this.controller !== undefined) {
      controller.abort(this.done ? createCancelled() : createRepeated());
      return;
    }
    this.controller = controller;
  }

  public onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (this.done || status < 200) return;
    const raw = (controller.rawHeaders ?? []) as Buffer[];
    this.status = status;
    this.headAtMs = this.attempt.clock();
    if (this.attempt.toDaemon && findHeader(raw, CallHeader.Refusal) !== undefined) {
      this.refusalHead = raw;
      return;
    }
    this.started = true;
    this.upstreamMs = this.computeUpstreamMs(raw);
    const head = { status, rawHeaders: raw, upstreamMs: this.upstreamMs };
    this.attempt.sink.start(head, () => controller.resume());
  }

  public onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.done) return;
    if (this.refusalHead !== undefined) {
      this.refusalLength += chunk.length;
      if (this.refusalLength <= MAX_REFUSAL_BYTES) this.refusalBytes.push(chunk);
      return;
    }
    if (!this.attempt.sink.write(chunk)) controller.pause();
  }

  public onResponseEnd(): void {
    if (this.done) return;
    this.settle();
    if (this.refusalHead !== undefined) {
      const refusal = readRefusal(this.status, this.refusalHead, this.refusalBytes);
      this.resolve({ type: 'refused', refusal });
      return;
    }
    this.attempt.sink.end();
    const { upstreamMs, headAtMs } = this;
    this.resolve({ type: 'answered', upstreamMs, headAtMs });
  }

  public onResponseError(_controller: unknown, cause: Error): void {
    this.finishFailed(cause);
  }

  /** Ends the attempt without a whole answer. */
  public finishFailed(cause: Error): void {
    if (this.done) return;
    this.settle();
    if (this.started) this.attempt.sink.abort(cause);
    this.resolve({
      type: 'failed',
      sent: this.controller !== undefined,
      started: this.started,
      cause,
    });
  }

  private computeUpstreamMs(raw: readonly Buffer[]): number {
    const { toDaemon, queuedMs } = this.attempt;
    if (!toDaemon) return this.headAtMs - this.startedAtMs + queuedMs;
    return Number(findHeader(raw, CallHeader.UpstreamMs)) || 0;
  }

  public readonly abandon = (): void => {
    const { controller } = this;
    const cause = createCancelled();
    this.finishFailed(cause);
    controller?.abort(cause);
  };

  private settle(): void {
    this.done = true;
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
    return { message: 'refused by another daemon' };
  }
}
