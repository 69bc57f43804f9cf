import type { IncomingMessage } from 'node:http';
import type { CompleteSettings } from '@cactusdeal/schema';
import type { Clock } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import type { ResponseSink } from './CactusdealTrafficAttempt.js';
import type { CallBody } from './CactusdealTrafficBody.js';
import { type Call, type CallLifetime, MAX_CALL_DEPTH } from './CactusdealTrafficCall.js';
import { CallHeader, selectEndToEnd } from './CactusdealTrafficHeaders.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import { type CompiledRoute, getRouteTable } from './CactusdealTrafficRouteTable.js';
import { type GetSnapshot, type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** Dependencies of accepting a call. */
export interface IntakeContext {
  readonly getSnapshot: GetSnapshot;
  readonly settings: Pick<CompleteSettings['calls'], 'retryBudget'>;
  readonly clock: Clock;
}

/** The head of a call as the caller sent it, not validated yet. */
export interface CallHead {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, without hop-by-hop fields and those of this system. */
  readonly headers: readonly string[];
  readonly service: string | undefined;
  /** Who makes the call; only another daemon's word for it counts. */
  readonly caller: string;
  readonly key: string | undefined;
  readonly deadlineMs: number | undefined;
  readonly budget: number | undefined;
  readonly depth: number;
}

/** The head of a call that has a route and passed validation. */
export interface AcceptedHead {
  readonly head: CallHead;
  readonly route: CompiledRoute;
  readonly startedAtMs: number;
  readonly remainingMs: number;
}

/** Parses the head of an HTTP request. Unreadable values are treated as absent. */
export function parseCallHead(request: IncomingMessage): CallHead {
  const { headers } = request;
  return {
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: selectEndToEnd(request.rawHeaders),
    service: parseText(headers[CallHeader.Service]),
    caller: parseText(headers[CallHeader.Caller]) ?? '',
    key: parseText(headers[CallHeader.IdempotencyKey]),
    deadlineMs: parseNumber(headers[CallHeader.DeadlineMs]),
    budget: parseNumber(headers[CallHeader.RetryBudget]),
    depth: parseNumber(headers[CallHeader.Depth]) ?? 0,
  };
}

/** Finds the route of a call and refuses calls that no gate could serve. */
export function acceptHead(context: IntakeContext, head: CallHead): Either<Refusal, AcceptedHead> {
  const route = getRouteTable(context.getSnapshot()).match(head.service, head.method, head.path);
  if (route === undefined) {
    return Left(createNotRun(RefusalKind.NoRoute, `no route for ${head.method} ${head.path}`));
  }
  if (head.depth > MAX_CALL_DEPTH) {
    return Left(
      createNotRun(
        RefusalKind.BudgetExhausted,
        `call depth ${head.depth} exceeds the limit of ${MAX_CALL_DEPTH}`,
      ),
    );
  }
  if (route.route.effect === 'atMostOnce' && head.key === undefined) {
    return Left(
      createNotRun(
        RefusalKind.KeyMissing,
        `${CallHeader.IdempotencyKey} is required by route ${route.name}, which is atMostOnce`,
      ),
    );
  }
  const { deadlineMs } = route.route;
  return Right({
    head,
    route,
    startedAtMs: context.clock(),
    remainingMs: Math.min(head.deadlineMs ?? deadlineMs, deadlineMs),
  });
}

/** Builds a call. `depthIncrement` is 1 at the entry, where the call enters the system, else 0. */
export function buildCall(
  context: IntakeContext,
  accepted: AcceptedHead,
  rest: { readonly body: CallBody; readonly lifetime: CallLifetime; readonly sink: ResponseSink },
  depthIncrement: 0 | 1,
): Call {
  const { head, route, startedAtMs, remainingMs } = accepted;
  const { retryBudget } = context.settings;
  return {
    method: head.method,
    path: head.path,
    headers: head.headers,
    caller: head.caller,
    route,
    key: head.key,
    startedAtMs,
    deadlineAtMs: startedAtMs + remainingMs,
    budget: Math.min(head.budget ?? retryBudget, retryBudget),
    depth: head.depth + depthIncrement,
    ...rest,
  };
}

function parseText(value: string | string[] | undefined): string | undefined {
  const text = Array.isArray(value) ? value[0] : value;
  return text === undefined || text === '' ? undefined : text;
}

/** Parses a finite, non-negative number; undefined for anything else. */
export function parseNumber(value: string | string[] | undefined): number | undefined {
  const text = parseText(value);
  if (text === undefined) return undefined;
  const number = Number(text);
  return Number.isFinite(number) && number >= 0 ? number : undefined;
}
