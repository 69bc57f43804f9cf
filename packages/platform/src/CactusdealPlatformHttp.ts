import {
  type ChunkPacer,
  type Clock,
  collectBody,
  createChunkPacer,
  createSilentLog,
  FailureError,
  formatError,
  getMonotonicMs,
  type Log,
} from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { Agent, type Dispatcher } from 'undici';
import { createCallBudget } from './CactusdealPlatformBudget.js';
import {
  buildNotDoneFailure,
  buildUnknownFailure,
  checkLimits,
  MAX_VALUE_BYTES,
} from './CactusdealPlatformLimits.js';
import type {
  Platform,
  PlatformFailure,
  PlatformLease,
  PlatformRecord,
  WriteOutcome,
} from './CactusdealPlatformPort.js';

/** Header field of an answer that carries the revision of the record. */
export const REVISION_HEADER = 'cactusdeal-revision';

export interface HttpPlatformOptions {
  /** Base URL of the service. */
  readonly url: string;
  /** Longest wait for an answer, in milliseconds; a watch adds its own wait. */
  readonly timeoutMs: number;
  /** Calls per second that this client may make. */
  readonly callsPerSecond: number;
  readonly log?: Log;
  readonly clock?: Clock;
}

interface HttpAnswer {
  readonly status: number;
  /** 0 when the answer carries no revision. */
  readonly revision: number;
  readonly body: Uint8Array;
}

interface HttpCall {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: Uint8Array;
  /** Time for which the server may delay its answer, in milliseconds; adds to the timeout. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal | undefined;
}

type Send = (call: HttpCall) => Promise<Either<PlatformFailure, HttpAnswer>>;

const MAX_CONNECTIONS = 16;
/** Largest answer, in bytes; a longer one fails the call. */
const MAX_ANSWER_BYTES = 2 * MAX_VALUE_BYTES;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_PRECONDITION_FAILED = 412;
const STATUS_SERVER_ERROR = 500;
const STATUS_UNAVAILABLE = 503;

/** Error codes of a connection that was not established, so that no byte of the call was sent. */
const UNSENT_ERROR_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
];

/**
 * Creates an HTTP client of the platform's service. A refusal by the server (any 4xx, and 503), a
 * failed connection attempt, an exhausted call budget and a call after `close` are `NotDone`. A timeout,
 * a connection reset, any other 5xx or a `close` meanwhile is `Unknown`, since the call may have been sent.
 */
export function createHttpPlatform(options: HttpPlatformOptions): Platform {
  const agent = new Agent({
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    connect: { timeout: options.timeoutMs },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const closing = new AbortController();
  const send = createSender(agent, options, closing.signal);
  return {
    get: (key) => readRecord(send, key, { method: 'GET', path: `/v1/kv/${encodePathPart(key)}` }),
    createIfAbsent: (key, value, leaseId) => writeRecord(send, key, 0, value, leaseId),
    compareAndSwap: (key, expectedRevision, value, leaseId) =>
      writeRecord(send, key, expectedRevision, value, leaseId),
    remove: (key, expectedRevision) => removeRecord(send, key, expectedRevision),
    grantLease: (ttlMs) => grantLease(send, ttlMs),
    renewLease: (leaseId) => updateLease(send, 'PUT', leaseId),
    revokeLease: (leaseId) => updateLease(send, 'DELETE', leaseId),
    watch: (key, afterRevision, waitMs, signal) => {
      const path = `/v1/watch/${encodePathPart(key)}?after=${afterRevision}&waitMs=${Math.ceil(waitMs)}`;
      return readRecord(send, key, { method: 'GET', path, waitMs, signal });
    },
    close: () => {
      closing.abort();
      return agent.destroy();
    },
  };
}

function encodePathPart(key: string): string {
  return encodeURIComponent(key);
}

function createSender(agent: Agent, options: HttpPlatformOptions, closing: AbortSignal): Send {
  const budget = createCallBudget(options.callsPerSecond, options.clock ?? getMonotonicMs);
  const log = options.log ?? createSilentLog();
  const pacer = createChunkPacer();
  return async (call) => {
    if (call.signal?.aborted || closing.aborted)
      return Left(buildNotDoneFailure('cancelled or closed before the call was sent'));
    if (!budget.take()) {
      log.warn('platform-budget-spent', { method: call.method, path: call.path });
      return Left(
        buildNotDoneFailure(`call budget of ${options.callsPerSecond} calls per second exhausted`),
      );
    }
    try {
      return checkStatus(await sendRequest(agent, options, call, pacer));
    } catch (caught) {
      const failure = toFailure(caught);
      log.warn('platform-call-failed', { path: call.path, ...failure });
      return Left(failure);
    }
  };
}

async function sendRequest(
  agent: Agent,
  { url, timeoutMs }: HttpPlatformOptions,
  call: HttpCall,
  pacer: ChunkPacer,
): Promise<HttpAnswer> {
  const deadline = AbortSignal.timeout(timeoutMs + (call.waitMs ?? 0));
  const signal = call.signal === undefined ? deadline : AbortSignal.any([deadline, call.signal]);
  const response = await agent.request({
    origin: url,
    path: call.path,
    method: call.method,
    body: call.body ?? null,
    signal,
  });
  const collected = await collectBody(response.body, { maxBytes: MAX_ANSWER_BYTES, pacer });
  const bytes = collected
    .ifLeft((failure) => {
      response.body.destroy();
      throw new FailureError(failure);
    })
    .unsafeCoerce();
  const body = new Uint8Array(bytes);
  const revision = Number(response.headers[REVISION_HEADER] ?? 0);
  return { status: response.statusCode, revision, body };
}

/** Turns every status into a failure that is not 200, 404 or 412, the service's own answers. */
function checkStatus(answer: HttpAnswer): Either<PlatformFailure, HttpAnswer> {
  const { status } = answer;
  const isServiceAnswer =
    status === STATUS_OK || status === STATUS_NOT_FOUND || status === STATUS_PRECONDITION_FAILED;
  if (isServiceAnswer) return Right(answer);
  const message = `status ${status}: ${new TextDecoder().decode(answer.body).slice(0, 200)}`;
  const isUnknown = status >= STATUS_SERVER_ERROR && status !== STATUS_UNAVAILABLE;
  return Left(isUnknown ? buildUnknownFailure(message) : buildNotDoneFailure(message));
}

/** Classifies an error of the HTTP client by whether the call can have been sent. */
function toFailure(caught: unknown): PlatformFailure {
  const { code } = caught as { code?: unknown };
  const message = formatError(caught);
  return UNSENT_ERROR_CODES.includes(String(code))
    ? buildNotDoneFailure(message)
    : buildUnknownFailure(message);
}

async function readRecord(
  send: Send,
  key: string,
  call: HttpCall,
): Promise<Either<PlatformFailure, PlatformRecord | undefined>> {
  const failure = checkLimits(key);
  if (failure !== undefined) return Left(failure);
  const answer = await send(call);
  return answer.map(toRecord);
}

function toRecord(answer: HttpAnswer): PlatformRecord | undefined {
  if (answer.revision === 0) return undefined;
  return { value: answer.body, revision: answer.revision };
}

async function writeRecord(
  send: Send,
  key: string,
  expectedRevision: number,
  value: Uint8Array,
  leaseId: string | undefined,
): Promise<Either<PlatformFailure, WriteOutcome>> {
  const failure = checkLimits(key, value);
  if (failure !== undefined) return Left(failure);
  const lease = leaseId === undefined ? '' : `&lease=${encodePathPart(leaseId)}`;
  const path = `/v1/kv/${encodePathPart(key)}?revision=${expectedRevision}${lease}`;
  const answer = await send({ method: 'PUT', path, body: value });
  return answer.map(toOutcome);
}

async function removeRecord(
  send: Send,
  key: string,
  expectedRevision: number,
): Promise<Either<PlatformFailure, WriteOutcome>> {
  const failure = checkLimits(key);
  if (failure !== undefined) return Left(failure);
  const path = `/v1/kv/${encodePathPart(key)}?revision=${expectedRevision}`;
  const answer = await send({ method: 'DELETE', path });
  return answer.map(toOutcome);
}

function toOutcome(answer: HttpAnswer): WriteOutcome {
  if (answer.status === STATUS_OK) return { written: true, revision: answer.revision };
  return { written: false, current: toRecord(answer) };
}

async function grantLease(
  send: Send,
  ttlMs: number,
): Promise<Either<PlatformFailure, PlatformLease>> {
  const answer = await send({ method: 'POST', path: `/v1/lease?ttlMs=${Math.ceil(ttlMs)}` });
  return answer.map(({ body }) => ({ id: new TextDecoder().decode(body), ttlMs }));
}

async function updateLease(
  send: Send,
  method: 'PUT' | 'DELETE',
  leaseId: string,
): Promise<Either<PlatformFailure, boolean>> {
  const answer = await send({ method, path: `/v1/lease/${encodePathPart(leaseId)}` });
  return answer.map(({ status }) => status === STATUS_OK);
}
