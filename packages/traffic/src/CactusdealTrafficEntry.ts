import type { CompleteSettings } from '@cactusdeal/schema';
import type { Clock, Log } from '@cactusdeal/shared';
import { type AttemptResult, sendAttempt } from './CactusdealTrafficAttempt.js';
import type { Balancer, Choice } from './CactusdealTrafficBalancer.js';
import type { Call, CallEnd } from './CactusdealTrafficCall.js';
import { buildTreeHeaders, explainFailure } from './CactusdealTrafficGate.js';
import { GateSign } from './CactusdealTrafficGateState.js';
import { CallHeader } from './CactusdealTrafficHeaders.js';
import type { TrafficMetrics } from './CactusdealTrafficMetrics.js';
import type { Pools } from './CactusdealTrafficPools.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import type { RetryBudget } from './CactusdealTrafficRetryBudget.js';
import { CallOutcome, type Gate, type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** What the entry works with. */
export interface EntryParts {
  readonly balancer: Balancer;
  readonly budget: RetryBudget;
  /** Connections to gates. */
  readonly pools: Pools;
  readonly settings: Pick<CompleteSettings['calls'], 'idleTimeoutMs'>;
  readonly metrics: TrafficMetrics;
  readonly log: Log;
  readonly clock: Clock;
  /** Serves a call at this process's own gate, when the chosen gate is that one. */
  readonly serveLocally: ((call: Call, gate: Gate) => Promise<CallEnd>) | undefined;
  readonly memberId: string;
}

const NO_UPSTREAM_RETRY_MS = 1000;

const FINAL_KINDS: ReadonlySet<RefusalKind> = new Set([
  RefusalKind.DeadlinePassed,
  RefusalKind.Quarantined,
  RefusalKind.BodyTooLarge,
  RefusalKind.KeyMissing,
  RefusalKind.KeyExpired,
  RefusalKind.KeyClaimed,
  RefusalKind.ClaimUnavailable,
  RefusalKind.BudgetExhausted,
  RefusalKind.Cancelled,
]);

/** Leads a call to a gate, and after a refusal that allows it to another one. */
export async function serveAtEntry(parts: EntryParts, call: Call): Promise<CallEnd> {
  const { service } = call.route.route;
  const travelling = parts.budget.earn(service, call.budget);
  const tried = new Set<string>();
  let budget = travelling;
  let last: Refusal | undefined;
  for (;;) {
    const choice = parts.balancer.choose(call.route, tried);
    if (choice === undefined)
      return { type: 'refused', refusal: last ?? refuseNoUpstream(service) };
    tried.add(choice.gate.memberId);
    const end = await tryGate(parts, { ...call, budget }, choice);
    if (end.type !== 'refused') return end;
    last = end.refusal;
    if (!shouldRetry(call, last) || !parts.budget.spend(service)) return end;
    parts.metrics.recordRetry(last.kind);
    budget = 0;
  }
}

const refuseNoUpstream = (service: string): Refusal =>
  createNotRun(
    RefusalKind.NoUpstream,
    `no upstream of ${service} takes calls`,
    NO_UPSTREAM_RETRY_MS,
  );

/** Whether another attempt may follow a refusal, leaving the budget aside. */
function shouldRetry(call: Call, refusal: Refusal): boolean {
  if (FINAL_KINDS.has(refusal.kind) || call.life.signal.aborted || !call.body.canTake()) {
    return false;
  }
  if (refusal.outcome === CallOutcome.NotRun) return true;
  return refusal.outcome === CallOutcome.Unknown && call.route.route.effect === 'idempotent';
}

async function tryGate(parts: EntryParts, call: Call, choice: Choice): Promise<CallEnd> {
  const sinceMs = parts.clock();
  const { gate } = choice;
  const end =
    gate.memberId === parts.memberId && parts.serveLocally !== undefined
      ? await parts.serveLocally(call, gate)
      : await sendToGate(parts, call, gate);
  choice.finish(toGateSign(end), parts.clock() - sinceMs);
  return end;
}

async function sendToGate(parts: EntryParts, call: Call, gate: Gate): Promise<CallEnd> {
  const { sink } = call;
  const result = await sendAttempt({
    dispatcher: parts.pools.get(gate.address),
    method: call.method,
    path: call.path,
    headers: [
      ...call.headers,
      ...buildTreeHeaders(call, parts.clock()),
      CallHeader.Gate,
      gate.worker,
    ],
    body: call.body.take(),
    signal: call.life.signal,
    idleTimeoutMs: parts.settings.idleTimeoutMs,
    toDaemon: true,
    queuedMs: 0,
    clock: parts.clock,
    sink: {
      ...sink,
      start: (head, resume) => {
        call.life.stopDeadline();
        sink.start(head, resume);
      },
    },
  });
  return toCallEnd(call, result);
}

function toCallEnd(call: Call, result: AttemptResult): CallEnd {
  if (result.type !== 'failed') return result;
  if (result.started) return { type: 'cut' };
  return { type: 'refused', refusal: explainFailure(call, result) };
}

function toGateSign(end: CallEnd): GateSign {
  if (end.type === 'answered') return GateSign.Answered;
  if (end.type === 'cut') return GateSign.None;
  switch (end.refusal.kind) {
    case RefusalKind.UpstreamFailed:
      return GateSign.Failed;
    case RefusalKind.QueueFull:
    case RefusalKind.Shed:
    case RefusalKind.DeadlineUnmeetable:
      return GateSign.Busy;
    case RefusalKind.Draining:
    case RefusalKind.NoUpstream:
    case RefusalKind.NoRoute:
      return GateSign.Closed;
    default:
      return GateSign.None;
  }
}
