import { Readable } from 'node:stream';
import type { CompleteSettings } from '@cactusdeal/schema';
import type { Clock, Log, Random } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import type { AnswerSink } from './CactusdealTrafficAttempt.js';
import { createAttemptNames } from './CactusdealTrafficAttemptLog.js';
import { createBalancer } from './CactusdealTrafficBalancer.js';
import { type CallBody, createBufferedBody, createStreamedBody } from './CactusdealTrafficBody.js';
import { type CallLife, startCallLife } from './CactusdealTrafficCall.js';
import { type EntryContext, serveAtEntry } from './CactusdealTrafficEntry.js';
import { CallHeader, selectEndToEnd } from './CactusdealTrafficHeaders.js';
import { acceptHead, buildCall, type CallHead } from './CactusdealTrafficIntake.js';
import type { TrafficMetrics } from './CactusdealTrafficMetrics.js';
import { createGatePools } from './CactusdealTrafficPools.js';
import { createRetryBudget } from './CactusdealTrafficRetryBudget.js';
import type { Directory, GetSnapshot, Refusal } from './CactusdealTrafficTypes.js';

/** What a program that makes calls itself hands to the library. */
export interface CallerOptions {
  readonly dataCentre: string;
  readonly getSnapshot: GetSnapshot;
  readonly directory: Directory;
  readonly settings: Pick<CompleteSettings['calls'], 'idleTimeoutMs' | 'retryBudget'>;
  readonly metrics: TrafficMetrics;
  readonly log: Log;
  /** Milliseconds that never go back. */
  readonly clock: Clock;
  readonly random: Random;
}

/** One call of a program. */
export interface CallerRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Without it the longest path prefix of all routes decides. */
  readonly service?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** A stream is read once, so that a call with one is retried only before it is read. */
  readonly body?: Buffer | Readable;
  /** Idempotency key; required on atMostOnce routes. */
  readonly key?: string;
  readonly deadlineMs?: number;
  /** Of the call that this one serves, from its header; absent at the root of a tree. */
  readonly budget?: number;
  readonly depth?: number;
  readonly signal?: AbortSignal;
}

/** An upstream's answer. */
export interface CallerAnswer {
  readonly status: number;
  /** Alternating names and values, without hop-by-hop fields and ours. */
  readonly headers: readonly string[];
  /** Errors when the answer is cut short; destroying it cancels the call. */
  readonly body: Readable;
}

/** Makes calls with the routing, choice and retries of an entry, straight to the gates. */
export interface Caller {
  /** Settles when the answer begins, or with why there is none. */
  call(request: CallerRequest): Promise<Either<Refusal, CallerAnswer>>;
  close(): Promise<void>;
}

/** Creates a caller. Nothing is connected before the first call. */
export function createCaller(options: CallerOptions): Caller {
  const entry: EntryContext = {
    ...options,
    balancer: createBalancer(options),
    budget: createRetryBudget(),
    pools: createGatePools(),
    serveLocally: undefined,
    memberId: '',
    nextAttemptId: createAttemptNames(),
  };
  return {
    call: (request) => startCall(options, entry, request),
    close: () => entry.pools.close(),
  };
}

function startCall(
  options: CallerOptions,
  entry: EntryContext,
  request: CallerRequest,
): Promise<Either<Refusal, CallerAnswer>> {
  const accepted = acceptHead(options, toHead(request));
  if (accepted.isLeft()) return Promise.resolve(Left(accepted.extract()));
  const head = accepted.unsafeCoerce();
  const life = startCallLife(head.remainingMs);
  return new Promise((resolve) => {
    const sink = createReadableSink(life, (answer) => resolve(Right(answer)));
    const body = toCallBody(request, head.route.route.maxBodyBytes);
    const call = buildCall(options, head, { body, life, sink }, 1);
    request.signal?.addEventListener('abort', life.cancel, { once: true });
    if (request.signal?.aborted) life.cancel();
    void serveAtEntry(entry, call).then((end) => {
      life.close();
      request.signal?.removeEventListener('abort', life.cancel);
      if (end.type === 'refused') resolve(Left(end.refusal));
    });
  });
}

function toHead(request: CallerRequest): CallHead {
  const { method, path, service, key, deadlineMs, budget, depth } = request;
  const raw = Object.entries(request.headers ?? {}).flat();
  const headers = selectEndToEnd(raw);
  if (key !== undefined) headers.push(CallHeader.IdempotencyKey, key);
  return { method, path, headers, service, key, deadlineMs, budget, depth: depth ?? 0 };
}

function toCallBody({ body }: CallerRequest, maxBytes: number): CallBody {
  return body === undefined || Buffer.isBuffer(body)
    ? createBufferedBody(body)
    : createStreamedBody(body, maxBytes);
}

/** Turns an answer into a stream that the program reads at its own pace. */
function createReadableSink(life: CallLife, begin: (answer: CallerAnswer) => void): AnswerSink {
  let body: Readable | undefined;
  return {
    start: ({ status, rawHeaders }, resume) => {
      body = new Readable({
        read: resume,
        destroy: (error, callback) => {
          life.cancel();
          callback(error);
        },
      });
      begin({ status, headers: selectEndToEnd(rawHeaders), body });
    },
    write: (chunk) => body?.push(chunk) ?? false,
    end: () => body?.push(null),
    abort: (cause) => body?.destroy(cause),
  };
}
