import {
  type Platform,
  type PlatformFailure,
  type PlatformRecord,
  type WriteOutcome,
} from '@cactusdeal/platform';
import type { Either } from 'purify-ts';

/** A call of the service, parsed from an HTTP request. */
export interface StandinCall {
  /** Operation under which it is counted. */
  readonly operation: 'get' | 'put' | 'delete' | 'watch' | 'lease';
  /** Empty for calls on leases. */
  readonly key: string;
  readonly isWrite: boolean;
  /** Runs the call; `signal` cancels a watch. */
  run(platform: Platform, body: Uint8Array, signal: AbortSignal): Promise<StandinAnswer>;
}

/** The HTTP answer to a call. */
export interface StandinAnswer {
  readonly status: number;
  /** Revision of the record that was read or written; 0 when there is none. */
  readonly revision: number;
  readonly body: Uint8Array;
}

/** Longest wait of a watch, in milliseconds; longer ones are shortened to it. */
const MAX_WAIT_MS = 60_000;
const EMPTY_BODY = new Uint8Array();
const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_PRECONDITION_FAILED = 412;

/** Parses a request's method and URL into a call of the service; undefined when none matches. */
export function matchCall(method: string, url: URL): StandinCall | undefined {
  const [, version, kind, name] = url.pathname.split('/').map(decodeURIComponent);
  if (version !== 'v1') return undefined;
  if (kind === 'kv') return matchRecordCall(method, name ?? '', url.searchParams);
  if (kind === 'watch' && method === 'GET') return buildWatchCall(name ?? '', url.searchParams);
  if (kind === 'lease') return matchLeaseCall(method, name ?? '', url.searchParams);
  return undefined;
}

/** Builds an answer that has a status and a line of text, and no revision. */
export function buildTextAnswer(status: number, text: string): StandinAnswer {
  return { status, revision: 0, body: new TextEncoder().encode(text) };
}

function matchRecordCall(
  method: string,
  key: string,
  query: URLSearchParams,
): StandinCall | undefined {
  const revision = Number(query.get('revision') ?? 0);
  const leaseId = query.get('lease') ?? undefined;
  switch (method) {
    case 'GET':
      return {
        operation: 'get',
        key,
        isWrite: false,
        run: async (platform) => toReadAnswer(await platform.get(key)),
      };
    case 'PUT':
      return {
        operation: 'put',
        key,
        isWrite: true,
        run: async (platform, body) =>
          toWriteAnswer(await writeRecord(platform, key, revision, body, leaseId)),
      };
    case 'DELETE':
      return {
        operation: 'delete',
        key,
        isWrite: true,
        run: async (platform) => toWriteAnswer(await platform.remove(key, revision)),
      };
    default:
      return undefined;
  }
}

/** Revision 0 stands for an absent key. */
function writeRecord(
  platform: Platform,
  key: string,
  revision: number,
  body: Uint8Array,
  leaseId: string | undefined,
): Promise<Either<PlatformFailure, WriteOutcome>> {
  if (revision === 0) return platform.createIfAbsent(key, body, leaseId);
  return platform.compareAndSwap(key, revision, body, leaseId);
}

function buildWatchCall(key: string, query: URLSearchParams): StandinCall {
  const afterRevision = Number(query.get('after') ?? 0);
  const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('waitMs') ?? 0));
  return {
    operation: 'watch',
    key,
    isWrite: false,
    run: async (platform, _, signal) =>
      toReadAnswer(await platform.watch(key, afterRevision, waitMs, signal)),
  };
}

function matchLeaseCall(
  method: string,
  id: string,
  query: URLSearchParams,
): StandinCall | undefined {
  const buildLeaseCall = (run: StandinCall['run']): StandinCall => ({
    operation: 'lease',
    key: '',
    isWrite: true,
    run,
  });
  switch (method) {
    case 'POST':
      return buildLeaseCall(async (platform) => {
        const granted = await platform.grantLease(Number(query.get('ttlMs') ?? 0));
        return granted.caseOf({
          Left: toBadRequest,
          Right: (lease) => buildTextAnswer(STATUS_OK, lease.id),
        });
      });
    case 'PUT':
      return buildLeaseCall(async (platform) => toLeaseAnswer(await platform.renewLease(id)));
    case 'DELETE':
      return buildLeaseCall(async (platform) => toLeaseAnswer(await platform.revokeLease(id)));
    default:
      return undefined;
  }
}

function toReadAnswer(result: Either<PlatformFailure, PlatformRecord | undefined>): StandinAnswer {
  return result.caseOf({
    Left: toBadRequest,
    Right: (record) => ({
      status: record === undefined ? STATUS_NOT_FOUND : STATUS_OK,
      revision: record?.revision ?? 0,
      body: record?.value ?? EMPTY_BODY,
    }),
  });
}

function toWriteAnswer(result: Either<PlatformFailure, WriteOutcome>): StandinAnswer {
  return result.caseOf({
    Left: toBadRequest,
    Right: (outcome) =>
      outcome.written
        ? { status: STATUS_OK, revision: outcome.revision, body: EMPTY_BODY }
        : {
            status: STATUS_PRECONDITION_FAILED,
            revision: outcome.current?.revision ?? 0,
            body: outcome.current?.value ?? EMPTY_BODY,
          },
  });
}

function toLeaseAnswer(result: Either<PlatformFailure, boolean>): StandinAnswer {
  return result.caseOf({
    Left: toBadRequest,
    Right: (found) =>
      buildTextAnswer(
        found ? STATUS_OK : STATUS_NOT_FOUND,
        found ? 'ok' : 'lease expired or never granted',
      ),
  });
}

function toBadRequest(failure: PlatformFailure): StandinAnswer {
  return buildTextAnswer(STATUS_BAD_REQUEST, failure.message);
}
