import { Readable } from 'node:stream';
import type { CompleteSettings } from '@cactusdeal/schema';
import {
  type Clock,
  createChunkPacer,
  createDeferredTasks,
  type Log,
  type Random,
} from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import type { ResponseSink } from './CactusdealTrafficAttempt.js';
import { createAttemptIds } from './CactusdealTrafficAttemptLog.js';
import { createBalancer } from './CactusdealTrafficBalancer.js';
import { type CallBody, createBufferedBody, createStreamedBody } from './CactusdealTrafficBody.js';
import { type CallLifetime, startCallLifetime } from './CactusdealTrafficCall.js';
import { type EntryContext, serveAtEntry } from './CactusdealTrafficEntry.js';
import { CallHeader, selectEndToEnd } from './CactusdealTrafficHeaders.js';
import { acceptHead, buildCall, type CallHead } from './CactusdealTrafficIntake.js';
import type { TrafficMetrics } from './CactusdealTrafficMetrics.js';
import { createGatePools } from './CactusdealTrafficConnectionPools.js';
import { createRetryBudget } from './CactusdealTrafficRetryBudget.js';
import type { Directory, GetSnapshot, Refusal } from './CactusdealTrafficTypes.js';

/** Options of `createCaller`, for a program that makes calls without a daemon. */
export interface CallerOptions {
  /** Name of the program; programs of one name count as the same caller. */
  readonly name?: string;
  readonly dataCentre: string;
  readonly getSnapshot: GetSnapshot;
  readonly directory: Directory;
  readonly settings: Pick<CompleteSettings['calls'], 'idleTimeoutMs' | 'retryBudget'>;
  readonly metrics: TrafficMetrics;
  readonly log: Log;
  /** Monotonic clock in milliseconds. */
  readonly clock: Clock;
  readonly random: Random;
}

/** A call to make. */
export interface CallerRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Without it, the longest matching path prefix among all routes decides. */
  readonly service?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** A stream can be read only once, so the call is not retried after reading has begun. */
  readonly body?: Buffer | Readable;
  /** Idempotency key; required on atMostOnce routes. */
  readonly key?: string;
  readonly deadlineMs?: number;
  /** Retry budget from the headers of the call being served; absent at the root of a call tree. */
  readonly budget?: number;
  /** Depth from the headers of the call being served; absent at the root of a call tree. */
  readonly depth?: number;
  readonly signal?: AbortSignal;
}

/** An upstream's response. */
export interface CallerResponse {
  readonly status: number;
  /** Alternating names and values, without hop-by-hop fields and those of this system. */
  readonly headers: readonly string[];
  /** Emits an error if the response is truncated; destroying it cancels the call. */
  readonly body: Readable;
}

/** Makes calls directly to gates, with the routing, load balancing and retries of an entry. */
export interface Caller {
  /** Resolves when the response begins, or with the refusal if there is none. */
  call(request: CallerRequest): Promise<Either<Refusal, CallerResponse>>;
  close(): Promise<void>;
}

/** Creates a caller. Connections are opened by the first calls. */
export function createCaller(options: CallerOptions): Caller {
  const pacer = createChunkPacer();
  const entry: EntryContext = {
    ...options,
    balancer: createBalancer(options),
    budget: createRetryBudget(),
    pools: createGatePools(),
    pacer,
    deferredTasks: createDeferredTasks(),
    serveLocally: undefined,
    memberId: '',
    nextAttemptId: createAttemptIds(),
  };
  return {
    call: (request) => startCall(options, entry, request),
    close: () => {
      pacer.close();
      return entry.pools.close();
    },
  };
}

function startCall(
  options: CallerOptions,
  entry: EntryContext,
  request: CallerRequest,
): Promise<Either<Refusal, CallerResponse>> {
  const accepted = acceptHead(options, toCallHead(request, options.name));
  if (accepted.isLeft()) return Promise.resolve(Left(accepted.extract()));
  const head = accepted.unsafeCoerce();
  const lifetime = startCallLifetime(head.remainingMs);
  return new Promise((resolve) => {
    const sink = createReadableSink(lifetime, (response) => resolve(Right(response)));
    const body = toCallBody(request, head.route.route.maxBodyBytes);
    const call = buildCall(options, head, { body, lifetime, sink }, 1);
    request.signal?.addEventListener('abort', lifetime.cancel, { once: true });
    if (request.signal?.aborted) lifetime.cancel();
    void serveAtEntry(entry, call).then((result) => {
      lifetime.close();
      request.signal?.removeEventListener('abort', lifetime.cancel);
      if (result.type === 'refused') resolve(Left(result.refusal));
    });
  });
}

function toCallHead(request: CallerRequest, caller = ''): CallHead {
  const { method, path, service, key, deadlineMs, budget, depth } = request;
  const raw = Object.entries(request.headers ?? {}).flat();
  const headers = selectEndToEnd(raw);
  if (key !== undefined) headers.push(CallHeader.IdempotencyKey, key);
  return { method, path, headers, service, caller, key, deadlineMs, budget, depth: depth ?? 0 };
}

function toCallBody({ body }: CallerRequest, maxBytes: number): CallBody {
  return body === undefined || Buffer.isBuffer(body)
    ? createBufferedBody(body)
    : createStreamedBody(body, maxBytes);
}

/** Creates a sink that offers the response body as a stream with back pressure. */
function createReadableSink(
  lifetime: CallLifetime,
  onStart: (response: CallerResponse) => void,
): ResponseSink {
  let body: Readable | undefined;
  return {
    start: ({ status, rawHeaders }, resume) => {
      body = new Readable({
        read: resume,
        destroy: (error, callback) => {
          lifetime.cancel();
          callback(error);
        },
      });
      onStart({ status, headers: selectEndToEnd(rawHeaders), body });
    },
    write: (chunk) => body?.push(chunk) ?? false,
    end: () => body?.push(null),
    abort: (cause) => body?.destroy(cause),
  };
}
