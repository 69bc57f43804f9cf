import type { IncomingMessage } from 'node:http';
import type { CompleteSettings } from '@cactusdeal/schema';
import type { Clock } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import type { AnswerSink } from './CactusdealTrafficAttempt.js';
import type { CallBody } from './CactusdealTrafficBody.js';
import { type Call, type CallLife, MAX_DEPTH } from './CactusdealTrafficCall.js';
import { CallHeader, selectEndToEnd } from './CactusdealTrafficHeaders.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import { type CompiledRoute, getRouteTable } from './CactusdealTrafficRouteTable.js';
import { type GetSnapshot, type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** What taking in a call needs. */
export interface IntakeContext {
  readonly getSnapshot: GetSnapshot;
  readonly settings: Pick<CompleteSettings['calls'], 'retryBudget'>;
  readonly clock: Clock;
}

/** What a caller states of a call, before anything is decided. */
export interface CallHead {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, without hop-by-hop fields and ours. */
  readonly headers: readonly string[];
  readonly service: string | undefined;
  readonly key: string | undefined;
  readonly deadlineMs: number | undefined;
  readonly budget: number | undefined;
  readonly depth: number;
}

/** The head of a call whose route is known and that may go on. */
export interface AcceptedHead {
  readonly head: CallHead;
  readonly route: CompiledRoute;
  readonly startedAtMs: number;
  readonly remainingMs: number;
}

/** Reads the head of an HTTP request. Values that cannot be read count as absent. */
export function readHead(request: IncomingMessage): CallHead {
  const { headers } = request;
  return {
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: selectEndToEnd(request.rawHeaders),
    service: readText(headers[CallHeader.Service]),
    key: readText(headers[CallHeader.IdempotencyKey]),
    deadlineMs: readNumber(headers[CallHeader.DeadlineMs]),
    budget: readNumber(headers[CallHeader.RetryBudget]),
    depth: readNumber(headers[CallHeader.Depth]) ?? 0,
  };
}

/** Finds the route of a call and refuses what can never be served. */
export function acceptHead(context: IntakeContext, head: CallHead): Either<Refusal, AcceptedHead> {
  const route = getRouteTable(context.getSnapshot()).match(head.service, head.method, head.path);
  if (route === undefined) {
    return Left(createNotRun(RefusalKind.NoRoute, `no route for ${head.method} ${head.path}`));
  }
  if (head.depth > MAX_DEPTH) {
    return Left(createNotRun(RefusalKind.BudgetExhausted, `calls are nested above ${MAX_DEPTH}`));
  }
  if (route.route.effect === 'atMostOnce' && head.key === undefined) {
    return Left(createNotRun(RefusalKind.KeyMissing, `${CallHeader.IdempotencyKey} is required`));
  }
  const { deadlineMs } = route.route;
  return Right({
    head,
    route,
    startedAtMs: context.clock(),
    remainingMs: Math.min(head.deadlineMs ?? deadlineMs, deadlineMs),
  });
}

/** Puts together a call from its context; `levels` is 1 where the call enters the system. */
export function buildCall(
  context: IntakeContext,
  accepted: AcceptedHead,
  rest: { readonly body: CallBody; readonly life: CallLife; readonly sink: AnswerSink },
  levels: 0 | 1,
): Call {
  const { head, route, startedAtMs, remainingMs } = accepted;
  const { retryBudget } = context.settings;
  return {
    method: head.method,
    path: head.path,
    headers: head.headers,
    route,
    key: head.key,
    startedAtMs,
    deadlineAtMs: startedAtMs + remainingMs,
    budget: Math.min(head.budget ?? retryBudget, retryBudget),
    depth: head.depth + levels,
    ...rest,
  };
}

function readText(value: string | string[] | undefined): string | undefined {
  const text = Array.isArray(value) ? value[0] : value;
  return text === undefined || text === '' ? undefined : text;
}

/** A number that is not negative; undefined for anything else. */
export function readNumber(value: string | string[] | undefined): number | undefined {
  const text = readText(value);
  if (text === undefined) return undefined;
  const number = Number(text);
  return Number.isFinite(number) && number >= 0 ? number : undefined;
}
