import { createHash } from 'node:crypto';
import { formatError } from '@cactusdeal/shared';
import { type Dispatcher, request } from 'undici';
import { type UpstreamResponseBody, UpstreamHeader } from './CactusdealTestingUpstreamTypes.js';

const OUTCOME_HEADER = 'cactusdeal-outcome';
const REFUSAL_HEADER = 'cactusdeal-refusal';
const DEADLINE_HEADER = 'cactusdeal-deadline-ms';
const RESPONSE_TIMEOUT_MS = 60_000;

/** The request that a caller sends to a daemon. */
export interface CallSpec {
  /** Unique per request, also when a caller sends the same call again; upstreams record it. */
  readonly requestId: string;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly idempotencyKey?: string;
  readonly deadlineMs?: number;
  readonly body?: Buffer;
  /** Bytes of filler that the upstream stand-in puts into its response body. */
  readonly answerBytes?: number;
  /** Service time of this request in the upstream stand-in, in milliseconds. */
  readonly serviceMs?: number;
  readonly signal?: AbortSignal;
  readonly dispatcher?: Dispatcher;
}

/** The response, refusal or error with which a call ended. */
export interface CallResult {
  readonly spec: CallSpec;
  /** Undefined when the response did not arrive completely. */
  readonly status: number | undefined;
  /** Value of the header `cactusdeal-outcome`. */
  readonly outcome: string | undefined;
  /** Value of the header `cactusdeal-refusal`. */
  readonly refusal: string | undefined;
  /** The upstream's response body, when the status is 200. */
  readonly responseBody: UpstreamResponseBody | undefined;
  /** Message of the error that broke the connection or aborted the call. */
  readonly error: string | undefined;
  /** Wall-clock time. */
  readonly startedAtMs: number;
  readonly durationMs: number;
}

/** Sends one call to a daemon's calls address. Never rejects: errors are part of the result. */
export async function sendCall(address: string, spec: CallSpec): Promise<CallResult> {
  const startedAtMs = Date.now();
  const startMs = performance.now();
  const buildResult = (known: Partial<CallResult>): CallResult => ({
    ...{ spec, status: undefined, outcome: undefined, refusal: undefined },
    ...{ responseBody: undefined, error: undefined, startedAtMs },
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
      responseBody: statusCode === 200 ? parseResponseBody(text) : undefined,
    });
  } catch (caught) {
    return buildResult({ error: formatError(caught) });
  }
}

/**
 * Parses the body of a 200 response. For a body that is not JSON, as when it is truncated, returns a
 * placeholder whose request id matches no call, so that `explainWrongResponse` reports it.
 */
function parseResponseBody(text: string): UpstreamResponseBody {
  try {
    return JSON.parse(text) as UpstreamResponseBody;
  } catch {
    const placeholder = {
      requestId: 'unparsable-body',
      worker: '',
      path: '',
      bodyHash: '',
      filler: '',
    };
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
 * Explains why the response body is not the complete response to this call. Returns undefined when it
 * is, and when there is no response body.
 */
export function explainWrongResponse({
  spec,
  responseBody: answer,
}: CallResult): string | undefined {
  if (answer === undefined) return undefined;
  if (answer.requestId !== spec.requestId)
    return `the response is that of request ${answer.requestId}`;
  const body = spec.body ?? Buffer.alloc(0);
  const bodyHash = createHash('sha256').update(body).digest('hex');
  if (answer.bodyHash !== bodyHash)
    return `the upstream received a body of ${answer.bodyBytes} bytes that differs from the ${body.length} bytes sent`;
  const expectedBytes = spec.answerBytes ?? 0;
  return answer.filler.length === expectedBytes
    ? undefined
    : `the response has ${answer.filler.length} bytes of filler, expected ${expectedBytes}`;
}
