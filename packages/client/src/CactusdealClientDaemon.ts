import { type Failure, formatCaught } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { request } from 'undici';

/** Why the daemon's answer is not what was asked for. */
export type DaemonFailure =
  /** The daemon refused; nothing was written. */
  | (Failure & { readonly source: 'refused'; readonly status: number })
  /** No answer came; a confirmation may have taken effect. */
  | (Failure<'DaemonUnreachable' | 'DaemonAnswerLost'> & { readonly source: 'unreachable' });

/** A connection to the operator API of one daemon. */
export interface DaemonClient {
  get(path: string): Promise<Either<DaemonFailure, unknown>>;
  post(path: string, body: unknown): Promise<Either<DaemonFailure, unknown>>;
}

const TIMEOUT_MS = 15_000;

/** Creates a client of the daemon whose admin listener has the address `IP:port`. */
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
      kind: isNeverSent(caught) ? 'DaemonUnreachable' : 'DaemonAnswerLost',
      message: formatCaught(caught),
      source: 'unreachable',
    });
  }
}

function isNeverSent(caught: unknown): boolean {
  const code = caught instanceof Error && 'code' in caught ? caught.code : undefined;
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
}

function toFailure(value: unknown): Failure {
  if (typeof value === 'object' && value !== null && 'kind' in value && 'message' in value) {
    return { ...value, kind: String(value.kind), message: String(value.message) };
  }
  return { kind: 'UnexpectedAnswer', message: JSON.stringify(value) };
}
