import { createValidator, type Intent } from '@cactusdeal/schema';
import type { Failure } from '@cactusdeal/shared';
import type { Either } from 'purify-ts';
import type { HttpAnswer, HttpRequest, HttpRoute } from './CactusdealDaemonHttp.js';
import type { LocalWorkers } from './CactusdealDaemonWorkers.js';

/** What the admin listener needs of the daemon's parts. */
export interface AdminParts {
  readonly workers: LocalWorkers;
  readonly isReady: () => boolean;
  readonly getStatus: () => object;
  /** Status of every data centre that can be heard of. */
  readonly collectStatus: () => Promise<object>;
  readonly getSnapshot: () => object;
  readonly renderMetrics: () => Promise<string>;
  readonly plan: (operator: string, intent: Intent) => Promise<Either<Failure, object>>;
  readonly confirm: (operator: string, planId: string) => Promise<Either<Failure, object>>;
  readonly readHistory: (
    before: number | undefined,
    limit: number,
  ) => Promise<Either<Failure, object>>;
}

const METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8';
const DEFAULT_HISTORY_LENGTH = 20;
const MAX_HISTORY_LENGTH = 200;
const MAX_OPERATOR_LENGTH = 100;

/** HTTP status of each failure; others are 400. */
const STATUS_OF_FAILURE: Readonly<Record<string, number>> = {
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

/** Lists the paths of the admin listener. */
export function listAdminRoutes(parts: AdminParts): readonly HttpRoute[] {
  return [...listProbeRoutes(parts), ...listWorkerRoutes(parts), ...listOperatorRoutes(parts)];
}

function listProbeRoutes(parts: AdminParts): readonly HttpRoute[] {
  return [
    { method: 'GET', pattern: '/healthz', handle: () => toAnswer({ alive: true }) },
    {
      method: 'GET',
      pattern: '/readyz',
      handle: () => {
        const ready = parts.isReady();
        return { status: ready ? 200 : 503, body: { ready } };
      },
    },
    {
      method: 'GET',
      pattern: '/metrics',
      handle: async () => ({
        status: 200,
        body: await parts.renderMetrics(),
        contentType: METRICS_TYPE,
      }),
    },
  ];
}

function listWorkerRoutes({ workers }: AdminParts): readonly HttpRoute[] {
  return [
    {
      method: 'PUT',
      pattern: '/v1/workers/:name',
      handle: ({ params, body }) => toResult(workers.announce(params.name ?? '', body)),
    },
    {
      method: 'DELETE',
      pattern: '/v1/workers/:name',
      handle: ({ params }) =>
        toResult(workers.remove(params.name ?? '').map(() => ({ removed: params.name }))),
    },
  ];
}

function listOperatorRoutes(parts: AdminParts): readonly HttpRoute[] {
  return [
    {
      method: 'GET',
      pattern: '/v1/status',
      handle: async ({ query }) =>
        toAnswer(query.get('scope') === 'all' ? await parts.collectStatus() : parts.getStatus()),
    },
    { method: 'GET', pattern: '/v1/snapshot', handle: () => toAnswer(parts.getSnapshot()) },
    { method: 'POST', pattern: '/v1/plans', handle: (request) => handlePlan(parts, request) },
    {
      method: 'POST',
      pattern: '/v1/plans/:id/confirm',
      handle: (request) => handleConfirm(parts, request),
    },
    { method: 'GET', pattern: '/v1/history', handle: (request) => handleHistory(parts, request) },
  ];
}

async function handlePlan(parts: AdminParts, { body }: HttpRequest): Promise<HttpAnswer> {
  const operator = findOperator(body);
  if (operator === undefined) return refuseOperator();
  const intent = validateIntent((body as { readonly intent?: unknown }).intent);
  if (intent.isLeft()) return toResult(intent);
  const planned = await parts.plan(operator, intent.unsafeCoerce());
  return toResult(planned, 201);
}

async function handleConfirm(
  parts: AdminParts,
  { params, body }: HttpRequest,
): Promise<HttpAnswer> {
  const operator = findOperator(body);
  if (operator === undefined) return refuseOperator();
  return toResult(await parts.confirm(operator, params.id ?? ''));
}

async function handleHistory(parts: AdminParts, { query }: HttpRequest): Promise<HttpAnswer> {
  const before = Number(query.get('before') ?? 0);
  const limit = Number(query.get('limit') ?? DEFAULT_HISTORY_LENGTH);
  const isValid = Number.isInteger(before) && before >= 0 && Number.isInteger(limit) && limit > 0;
  if (!isValid) {
    return {
      status: 400,
      body: { kind: 'QueryInvalid', message: 'before and limit: whole numbers' },
    };
  }
  const length = Math.min(limit, MAX_HISTORY_LENGTH);
  return toResult(await parts.readHistory(before === 0 ? undefined : before, length));
}

function findOperator(body: unknown): string | undefined {
  if (typeof body !== 'object' || body === null || !('operator' in body)) return undefined;
  const { operator } = body;
  const fits = typeof operator === 'string' && operator !== '';
  return fits && operator.length <= MAX_OPERATOR_LENGTH ? operator : undefined;
}

function refuseOperator(): HttpAnswer {
  const message = `operator: a name of 1 to ${MAX_OPERATOR_LENGTH} characters`;
  return { status: 400, body: { kind: 'OperatorMissing', message } };
}

function toAnswer(body: object): HttpAnswer {
  return { status: 200, body };
}

function toResult(result: Either<Failure, object>, status = 200): HttpAnswer {
  return result.caseOf<HttpAnswer>({
    Left: (failure) => ({ status: STATUS_OF_FAILURE[failure.kind] ?? 400, body: failure }),
    Right: (body) => ({ status, body }),
  });
}
