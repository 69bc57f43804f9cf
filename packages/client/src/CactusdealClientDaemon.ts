import { type Failure, formatError } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { request } from 'undici';

/** Why a request to a daemon failed. */
export type DaemonFailure =
  /**
   * The daemon answered with an error. Nothing was written, except that with status 502 it may have
   * been.
   */
  | (Failure & { readonly source: 'refused'; readonly status: number })
  /**
   * No whole answer came. `DaemonUnreachable`: not sent; `DaemonAnswerLost`: a confirmation may
   * have taken effect.
   */
  | (Failure<'DaemonUnreachable' | 'DaemonAnswerLost'> & { readonly source: 'unreachable' });

/** Client of the operator API of one daemon; bodies are JSON. */
export interface DaemonClient {
  get(path: string): Promise<Either<DaemonFailure, unknown>>;
  post(path: string, body: unknown): Promise<Either<DaemonFailure, unknown>>;
}

/** Longest wait for the headers of an answer, and for each part of its body. */
const TIMEOUT_MS = 15_000;

/** Creates a client of the daemon whose admin listener has the given address, `IP:port`. */
export function createDaemonClient(address: string): DaemonClient {
  return {
    get: (path) => sendRequest(`http://${address}${path}`, 'GET'),
    post: (path, body) => sendRequest(`http://${address}${path}`, 'POST', body),
  };
}

async function sendRequest(
  url: string,
  method: 'GET' | 'POST',
  body?: unknown,
): Promise<Either<DaemonFailure, unknown>> {
  try {
    const answer = await request(url, {
      method,
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
      headers: { 'content-type': 'application/json' },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    const value: unknown = await answer.body.json();
    if (answer.statusCode < 300) return Right(value);
    return Left({ ...toFailure(value), source: 'refused', status: answer.statusCode });
  } catch (caught) {
    return Left({
      kind: isConnectFailure(caught) ? 'DaemonUnreachable' : 'DaemonAnswerLost',
      message: formatError(caught),
      source: 'unreachable',
    });
  }
}

function isConnectFailure(caught: unknown): boolean {
  const code = caught instanceof Error && 'code' in caught ? caught.code : undefined;
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
}

function toFailure(value: unknown): Failure {
  if (typeof value === 'object' && value !== null && 'kind' in value && 'message' in value) {
    return { ...value, kind: String(value.kind), message: String(value.message) };
  }
  return { kind: 'UnexpectedAnswer', message: JSON.stringify(value) };
}
