import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CompleteSettings } from '@cactusdeal/schema';
import type { Clock } from '@cactusdeal/shared';
import { type Either, Left } from 'purify-ts';
import { readBody } from './CactusdealTrafficBody.js';
import { type Call, MAX_DEPTH, startCallLife } from './CactusdealTrafficCall.js';
import { CallHeader, selectEndToEnd } from './CactusdealTrafficHeaders.js';
import type { CallRole } from './CactusdealTrafficMetrics.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import { createResponseSink } from './CactusdealTrafficResponse.js';
import { getRouteTable } from './CactusdealTrafficRouteTable.js';
import { type GetSnapshot, type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** What taking in a call needs. */
export interface IntakeParts {
  readonly getSnapshot: GetSnapshot;
  readonly settings: CompleteSettings['calls'];
  readonly clock: Clock;
}

/** Reads the head of a request, and a small body, into a call. */
export async function acceptCall(
  parts: IntakeParts,
  role: CallRole,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<Either<Refusal, Call>> {
  const startedAtMs = parts.clock();
  const method = request.method ?? 'GET';
  const path = request.url ?? '/';
  const { headers } = request;
  const service = readText(headers[CallHeader.Service]);
  const route = getRouteTable(parts.getSnapshot()).match(service, method, path);
  if (route === undefined) {
    return Left(createNotRun(RefusalKind.NoRoute, `no route for ${method} ${path}`));
  }
  const depth = readNumber(headers[CallHeader.Depth]) ?? 0;
  if (depth > MAX_DEPTH) {
    return Left(createNotRun(RefusalKind.BudgetExhausted, `calls are nested above ${MAX_DEPTH}`));
  }
  const key = readText(headers[CallHeader.IdempotencyKey]);
  if (route.route.effect === 'atMostOnce' && key === undefined) {
    return Left(createNotRun(RefusalKind.KeyMissing, `${CallHeader.IdempotencyKey} is required`));
  }
  const allowedMs = readNumber(headers[CallHeader.DeadlineMs]) ?? route.route.deadlineMs;
  const remainingMs = Math.min(allowedMs, route.route.deadlineMs);
  const life = startCallLife(remainingMs);
  response.once('close', () => {
    if (!response.writableFinished) life.cancel();
  });
  const contentLength = readNumber(headers['content-length']);
  const chunked = headers['transfer-encoding'] !== undefined;
  const body = await readBody(request, { contentLength, chunked }, route.route.maxBodyBytes);
  if (body.isLeft()) life.close();
  const budget = readNumber(headers[CallHeader.RetryBudget]) ?? parts.settings.retryBudget;
  return body.map((read) => ({
    method,
    path,
    headers: selectEndToEnd(request.rawHeaders),
    route,
    key,
    startedAtMs,
    deadlineAtMs: startedAtMs + remainingMs,
    budget: Math.min(budget, parts.settings.retryBudget),
    depth: role === 'entry' ? depth + 1 : depth,
    body: read,
    life,
    sink: createResponseSink(response),
  }));
}

function readText(value: string | string[] | undefined): string | undefined {
  const text = Array.isArray(value) ? value[0] : value;
  return text === undefined || text === '' ? undefined : text;
}

/** A number that is not negative; undefined for anything else. */
function readNumber(value: string | string[] | undefined): number | undefined {
  const text = readText(value);
  if (text === undefined) return undefined;
  const number = Number(text);
  return Number.isFinite(number) && number >= 0 ? number : undefined;
}
