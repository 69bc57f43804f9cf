import { createValidator, type Intent } from '@cactusdeal/schema';
import type { Failure } from '@cactusdeal/shared';
import type { Either } from 'purify-ts';
import type { HttpRequest, HttpResponse, HttpRoute } from './CactusdealDaemonHttp.js';
import type { LocalWorkers } from './CactusdealDaemonWorkers.js';

/** State and operations of the daemon that the admin listener exposes. */
export interface AdminBackend {
  readonly workers: LocalWorkers;
  readonly isReady: () => boolean;
  readonly getStatus: () => object;
  /** Status of every data centre; one without a readable status is marked as silent. */
  readonly collectStatus: () => Promise<object>;
  readonly getSnapshot: () => object;
  readonly renderMetrics: () => Promise<string>;
  readonly plan: (operator: string, intent: Intent) => Promise<Either<Failure, object>>;
  readonly confirm: (operator: string, planId: string) => Promise<Either<Failure, object>>;
  /**
   * Reads up to `limit` accepted changes, newest first, with versions below `before` if it is
   * given.
   */
  readonly readHistory: (
    before: number | undefined,
    limit: number,
  ) => Promise<Either<Failure, object>>;
}

const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';
const DEFAULT_HISTORY_LIMIT = 20;
const MAX_HISTORY_LIMIT = 200;
const MAX_OPERATOR_LENGTH = 100;

/** HTTP status by kind of failure; any other kind is answered with 400. */
const STATUS_BY_FAILURE_KIND: Readonly<Record<string, number>> = {
  HostTaken: 409,
  PlanStale: 409,
  PlanUnknown: 404,
  WorkerUnknown: 404,
  NotReady: 503,
  PlatformNotDone: 503,
  PlatformUnknown: 502,
  ConfirmNotDone: 503,
  ConfirmUnknown: 502,
  LogIncomplete: 503,
  LoadUnavailable: 503,
};

const validateIntent = createValidator<Intent>('configuration#/definitions/Intent');

/** Lists the routes of the admin listener: probes and metrics, workers, operators. */
export function listAdminRoutes(backend: AdminBackend): readonly HttpRoute[] {
  return [
    ...listProbeRoutes(backend),
    ...listWorkerRoutes(backend),
    ...listOperatorRoutes(backend),
  ];
}

function listProbeRoutes(backend: AdminBackend): readonly HttpRoute[] {
  return [
    { method: 'GET', pattern: '/healthz', handle: () => buildOkResponse({ alive: true }) },
    {
      method: 'GET',
      pattern: '/readyz',
      handle: () => {
        const ready = backend.isReady();
        return { status: ready ? 200 : 503, body: { ready } };
      },
    },
    {
      method: 'GET',
      pattern: '/metrics',
      handle: async () => ({
        status: 200,
        body: await backend.renderMetrics(),
        contentType: METRICS_CONTENT_TYPE,
      }),
    },
  ];
}

function listWorkerRoutes({ workers }: AdminBackend): readonly HttpRoute[] {
  return [
    {
      method: 'PUT',
      pattern: '/v1/workers/:name',
      handle: ({ params, body }) => convertResult(workers.announce(params.name ?? '', body)),
    },
    {
      method: 'DELETE',
      pattern: '/v1/workers/:name',
      handle: ({ params }) =>
        convertResult(workers.remove(params.name ?? '').map(() => ({ removed: params.name }))),
    },
  ];
}

function listOperatorRoutes(backend: AdminBackend): readonly HttpRoute[] {
  return [
    {
      method: 'GET',
      pattern: '/v1/status',
      handle: async ({ query }) =>
        buildOkResponse(
          query.get('scope') === 'all' ? await backend.collectStatus() : backend.getStatus(),
        ),
    },
    {
      method: 'GET',
      pattern: '/v1/snapshot',
      handle: () => buildOkResponse(backend.getSnapshot()),
    },
    { method: 'POST', pattern: '/v1/plans', handle: (request) => handlePlan(backend, request) },
    {
      method: 'POST',
      pattern: '/v1/plans/:id/confirm',
      handle: (request) => handleConfirm(backend, request),
    },
    { method: 'GET', pattern: '/v1/history', handle: (request) => handleHistory(backend, request) },
  ];
}

async function handlePlan(backend: AdminBackend, { body }: HttpRequest): Promise<HttpResponse> {
  const operator = readOperator(body);
  if (operator === undefined) return buildOperatorFailure();
  const intent = validateIntent((body as { readonly intent?: unknown }).intent);
  if (intent.isLeft()) return convertResult(intent);
  const planned = await backend.plan(operator, intent.unsafeCoerce());
  return convertResult(planned, 201);
}

async function handleConfirm(
  backend: AdminBackend,
  { params, body }: HttpRequest,
): Promise<HttpResponse> {
  const operator = readOperator(body);
  if (operator === undefined) return buildOperatorFailure();
  return convertResult(await backend.confirm(operator, params.id ?? ''));
}

async function handleHistory(backend: AdminBackend, { query }: HttpRequest): Promise<HttpResponse> {
  const before = Number(query.get('before') ?? 0);
  const limit = Number(query.get('limit') ?? DEFAULT_HISTORY_LIMIT);
  const isValid = Number.isInteger(before) && before >= 0 && Number.isInteger(limit) && limit > 0;
  if (!isValid) {
    return {
      status: 400,
      body: {
        kind: 'QueryInvalid',
        message: `before (${before}) must be an integer from 0, limit (${limit}) an integer from 1`,
      },
    };
  }
  const cappedLimit = Math.min(limit, MAX_HISTORY_LIMIT);
  return convertResult(await backend.readHistory(before === 0 ? undefined : before, cappedLimit));
}

/**
 * Returns the operator that a request body names; undefined when it is missing or its length is not
 * allowed.
 */
function readOperator(body: unknown): string | undefined {
  if (typeof body !== 'object' || body === null || !('operator' in body)) return undefined;
  const { operator } = body;
  const isNonEmptyString = typeof operator === 'string' && operator !== '';
  return isNonEmptyString && operator.length <= MAX_OPERATOR_LENGTH ? operator : undefined;
}

function buildOperatorFailure(): HttpResponse {
  const message = `body.operator must be a string of 1 to ${MAX_OPERATOR_LENGTH} characters`;
  return { status: 400, body: { kind: 'OperatorMissing', message } };
}

function buildOkResponse(body: object): HttpResponse {
  return { status: 200, body };
}

function convertResult(result: Either<Failure, object>, status = 200): HttpResponse {
  return result.caseOf<HttpResponse>({
    Left: (failure) => ({ status: STATUS_BY_FAILURE_KIND[failure.kind] ?? 400, body: failure }),
    Right: (body) => ({ status, body }),
  });
}
