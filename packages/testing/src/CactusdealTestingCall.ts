import { createHash } from 'node:crypto';
import { formatCaught } from '@cactusdeal/shared';
import { type Dispatcher, request } from 'undici';
import { type UpstreamResponseBody, UpstreamHeader } from './CactusdealTestingUpstreamTypes.js';

const OUTCOME_HEADER = 'cactusdeal-outcome';
const REFUSAL_HEADER = 'cactusdeal-refusal';
const DEADLINE_HEADER = 'cactusdeal-deadline-ms';
const RESPONSE_TIMEOUT_MS = 60_000;

/** A call as its caller makes it. */
export interface CallSpec {
  /** Unique for each attempt of a caller; upstreams record it. */
  readonly requestId: string;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly idempotencyKey?: string;
  readonly deadlineMs?: number;
  readonly body?: Buffer;
  /** Bytes of filler that the answer should carry. */
  readonly answerBytes?: number;
  /** Service time that the upstream should take, in milliseconds. */
  readonly serviceMs?: number;
  readonly signal?: AbortSignal;
  readonly dispatcher?: Dispatcher;
}

/** What the caller got. */
export interface CallResult {
  readonly spec: CallSpec;
  /** Undefined when no whole answer came. */
  readonly status: number | undefined;
  readonly outcome: string | undefined;
  readonly refusal: string | undefined;
  /** The upstream's answer, when the call ended well. */
  readonly answer: UpstreamResponseBody | undefined;
  readonly error: string | undefined;
  readonly startedAtMs: number;
  readonly durationMs: number;
}

/** Sends one call to a daemon's calls address. Never rejects. */
export async function sendCall(address: string, spec: CallSpec): Promise<CallResult> {
  const startedAtMs = Date.now();
  const startMs = performance.now();
  const buildResult = (known: Partial<CallResult>): CallResult => ({
    ...{ spec, status: undefined, outcome: undefined, refusal: undefined },
    ...{ answer: undefined, error: undefined, startedAtMs },
    durationMs: performance.now() - startMs,
    ...known,
  });
  try {
    const { statusCode, headers, body } = await request(`http://${address}${spec.path}`, {
      method: spec.method,
      headers: buildHeaders(spec),
      body: spec.body ?? null,
      headersTimeout: RESPONSE_TIMEOUT_MS,
      bodyTimeout: RESPONSE_TIMEOUT_MS,
      ...(spec.signal === undefined ? {} : { signal: spec.signal }),
      ...(spec.dispatcher === undefined ? {} : { dispatcher: spec.dispatcher }),
    });
    const text = await body.text();
    return buildResult({
      status: statusCode,
      outcome: headers[OUTCOME_HEADER]?.toString(),
      refusal: headers[REFUSAL_HEADER]?.toString(),
      answer: statusCode === 200 ? parseResponseBody(text) : undefined,
    });
  } catch (caught) {
    return buildResult({ error: formatCaught(caught) });
  }
}

/** An answer that ended well and yet is not whole becomes one that is nobody's. */
function parseResponseBody(text: string): UpstreamResponseBody {
  try {
    return JSON.parse(text) as UpstreamResponseBody;
  } catch {
    const placeholder = { requestId: 'nobody', worker: '', path: '', bodyHash: '', filler: '' };
    return { ...placeholder, bodyBytes: 0 };
  }
}

function buildHeaders(spec: CallSpec): Record<string, string> {
  const headers: Record<string, string> = { [UpstreamHeader.RequestId]: spec.requestId };
  if (spec.idempotencyKey !== undefined) {
    headers[UpstreamHeader.IdempotencyKey] = spec.idempotencyKey;
  }
  if (spec.deadlineMs !== undefined) headers[DEADLINE_HEADER] = String(spec.deadlineMs);
  if (spec.answerBytes !== undefined) {
    headers[UpstreamHeader.AnswerBytes] = String(spec.answerBytes);
  }
  if (spec.serviceMs !== undefined) headers[UpstreamHeader.ServiceMs] = String(spec.serviceMs);
  return headers;
}

/**
 * Explains what is wrong with an answer as the answer to this very call; undefined when it is whole
 * and the call's own, or when there is none.
 */
export function explainWrongResponse({ spec, answer }: CallResult): string | undefined {
  if (answer === undefined) return undefined;
  if (answer.requestId !== spec.requestId) return `answer of ${answer.requestId}`;
  const body = spec.body ?? Buffer.alloc(0);
  const bodyHash = createHash('sha256').update(body).digest('hex');
  if (answer.bodyHash !== bodyHash) return `the upstream got ${answer.bodyBytes} other bytes`;
  const expectedBytes = spec.answerBytes ?? 0;
  return answer.filler.length === expectedBytes
    ? undefined
    : `${answer.filler.length} bytes of ${expectedBytes}`;
}
