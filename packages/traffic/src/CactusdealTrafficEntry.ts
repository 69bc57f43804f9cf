import type { CompleteSettings } from '@cactusdeal/schema';
import type { Clock, Log } from '@cactusdeal/shared';
import {
  type AnswerSink,
  type Attempt,
  type AttemptResult,
  startAttempt,
} from './CactusdealTrafficAttempt.js';
import { AttemptState } from './CactusdealTrafficAttemptLog.js';
import type { Balancer, GateChoice } from './CactusdealTrafficBalancer.js';
import {
  buildTreeHeaders,
  type Call,
  type CallEnd,
  explainFailure,
  refuseExpired,
} from './CactusdealTrafficCall.js';
import { GateObservation } from './CactusdealTrafficGateState.js';
import { CallHeader } from './CactusdealTrafficHeaders.js';
import type { TrafficMetrics } from './CactusdealTrafficMetrics.js';
import type { Pools } from './CactusdealTrafficPools.js';
import { createNotRun, createRefusal } from './CactusdealTrafficRefusal.js';
import type { RetryBudget } from './CactusdealTrafficRetryBudget.js';
import { fetchAttemptState, watchSilence } from './CactusdealTrafficSilence.js';
import { CallOutcome, type Gate, type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** What the entry works with. */
export interface EntryContext {
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
  /** A name for an attempt that nobody can guess. */
  readonly nextAttemptId: () => string;
}

const NO_UPSTREAM_RETRY_MS = 1000;
/** Attempts of one call that may end unknown and still be followed by another. */
const MAX_UNKNOWNS = 1;
const MIN_STALL_MS = 500;
const STALL_FACTOR = 10;

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
export async function serveAtEntry(context: EntryContext, call: Call): Promise<CallEnd> {
  const { service } = call.route.route;
  const propagated = context.budget.earn(service, call.budget);
  const tried = new Set<string>();
  let budget = propagated;
  let last: Refusal | undefined;
  let unknowns = 0;
  for (;;) {
    const expired = refuseExpired(call, context.clock());
    if (expired !== undefined) return { type: 'refused', refusal: last ?? expired };
    const choice = context.balancer.choose(call.route, tried);
    if (choice === undefined)
      return { type: 'refused', refusal: last ?? refuseNoUpstream(service) };
    tried.add(choice.gate.memberId);
    const end = await tryGate(context, { ...call, budget }, choice);
    if (end.type !== 'refused') return end;
    last = mergeOutcome(last, end.refusal);
    if (end.refusal.outcome === CallOutcome.Unknown) unknowns += 1;
    if (last.kind === RefusalKind.ConnectionSilent) tried.delete(choice.gate.memberId);
    const mayRetry = shouldRetry(call, last, unknowns) && context.budget.spend(service);
    if (!mayRetry) return { type: 'refused', refusal: last };
    context.metrics.recordRetry(last.kind);
    budget = 0;
  }
}

/** A later refusal does not undo an earlier attempt that may have run. */
function mergeOutcome(earlier: Refusal | undefined, refusal: Refusal): Refusal {
  const mayHaveRun = earlier?.outcome === CallOutcome.Unknown;
  const isNotRun = refusal.outcome === CallOutcome.NotRun;
  return mayHaveRun && isNotRun ? { ...refusal, outcome: CallOutcome.Unknown } : refusal;
}

const refuseNoUpstream = (service: string): Refusal =>
  createNotRun(
    RefusalKind.NoUpstream,
    `no upstream of ${service} takes calls`,
    NO_UPSTREAM_RETRY_MS,
  );

/** Whether another attempt may follow a refusal, leaving the budget aside. */
function shouldRetry(call: Call, refusal: Refusal, unknowns: number): boolean {
  if (unknowns > MAX_UNKNOWNS) return false;
  if (FINAL_KINDS.has(refusal.kind) || call.life.signal.aborted || !call.body.canTake()) {
    return false;
  }
  if (refusal.outcome === CallOutcome.NotRun) return true;
  return refusal.outcome === CallOutcome.Unknown && call.route.route.effect === 'idempotent';
}

async function tryGate(context: EntryContext, call: Call, choice: GateChoice): Promise<CallEnd> {
  const sinceMs = context.clock();
  const { gate } = choice;
  const end =
    gate.memberId === context.memberId && context.serveLocally !== undefined
      ? await context.serveLocally(call, gate)
      : await sendToGate(context, call, choice);
  choice.finish(toGateObservation(end), context.clock() - sinceMs);
  return end;
}

/** How the other end of a silent connection explained the silence. */
type Silence = AttemptState | 'unreachable' | undefined;

async function sendToGate(context: EntryContext, call: Call, choice: GateChoice): Promise<CallEnd> {
  const { gate } = choice;
  const id = context.nextAttemptId();
  const sentAtMs = context.clock();
  let silence: Silence;
  const attempt = startAttempt({ ...buildAttempt(context, call, gate, id), sink: watchSink() });
  const watch = watchSilence(computeStallMs(call, choice, sentAtMs), async () => {
    silence = await explainSilence(context, gate, id, sentAtMs);
    if (silence === undefined) return false;
    attempt.abandon();
    return true;
  });
  const result = await attempt.result;
  watch.stop();
  return toCallEnd(call, result, silence);

  function watchSink(): AnswerSink {
    const { sink } = call;
    return {
      ...sink,
      start: (head, resume) => {
        watch.stop();
        call.life.stopDeadline();
        sink.start(head, resume);
      },
    };
  }
}

function buildAttempt(
  context: EntryContext,
  call: Call,
  gate: Gate,
  id: string,
): Omit<Attempt, 'sink'> {
  const forGate = [CallHeader.Gate, gate.worker, CallHeader.Attempt, id];
  return {
    dispatcher: context.pools.get(gate.address),
    method: call.method,
    path: call.path,
    headers: [...call.headers, ...buildTreeHeaders(call, context.clock()), ...forGate],
    body: call.body.take(),
    signal: call.life.signal,
    idleTimeoutMs: context.settings.idleTimeoutMs,
    toDaemon: true,
    queuedMs: 0,
    clock: context.clock,
  };
}

/** Silence after which the gate is asked: long beside its latency, early enough for a retry. */
function computeStallMs(call: Call, { latencyMs }: GateChoice, nowMs: number): number {
  const halfMs = (call.deadlineAtMs - nowMs) / 2;
  return Math.min(Math.max(MIN_STALL_MS, STALL_FACTOR * (latencyMs ?? 0)), halfMs);
}

/** Asks what became of a silent attempt; undefined when it has to be waited for. */
async function explainSilence(
  context: EntryContext,
  gate: Gate,
  id: string,
  sentAtMs: number,
): Promise<Silence> {
  const ageMs = context.clock() - sentAtMs;
  const state = await fetchAttemptState(gate.address, id, ageMs);
  if (state === undefined) return 'unreachable';
  if (state === AttemptState.Running) return undefined;
  context.pools.renew(gate.address);
  context.metrics.recordSilentConnection();
  context.log.warn('connection-silent', { gate: gate.memberId, attempt: state });
  return state;
}

function toCallEnd(call: Call, result: AttemptResult, silence: Silence): CallEnd {
  if (result.type !== 'failed') return result;
  if (result.started) return { type: 'cut' };
  return { type: 'refused', refusal: refuseSilence(silence) ?? explainFailure(call, result) };
}

function refuseSilence(silence: Silence): Refusal | undefined {
  if (silence === undefined) return undefined;
  if (silence === 'unreachable') {
    const message = 'the gate stopped answering';
    return createRefusal(RefusalKind.UpstreamFailed, message, CallOutcome.Unknown);
  }
  const outcome = silence === AttemptState.Barred ? CallOutcome.NotRun : CallOutcome.Unknown;
  return createRefusal(RefusalKind.ConnectionSilent, 'the connection went silent', outcome);
}

function toGateObservation(end: CallEnd): GateObservation {
  if (end.type === 'answered') return GateObservation.Answered;
  if (end.type === 'cut') return GateObservation.None;
  switch (end.refusal.kind) {
    case RefusalKind.UpstreamFailed:
      return GateObservation.Failed;
    case RefusalKind.QueueFull:
    case RefusalKind.Shed:
    case RefusalKind.DeadlineUnmeetable:
      return GateObservation.Busy;
    case RefusalKind.Draining:
    case RefusalKind.NoUpstream:
    case RefusalKind.NoRoute:
      return GateObservation.Closed;
    default:
      return GateObservation.None;
  }
}
