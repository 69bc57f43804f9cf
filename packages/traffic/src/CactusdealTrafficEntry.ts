import type { CompleteSettings } from '@cactusdeal/schema';
import type { ChunkPacer, Clock, DeferredTasks, Log } from '@cactusdeal/shared';
import {
  type ResponseSink,
  type Attempt,
  type AttemptResult,
  startAttempt,
} from './CactusdealTrafficAttempt.js';
import { AttemptState } from './CactusdealTrafficAttemptLog.js';
import type { Balancer, GateChoice } from './CactusdealTrafficBalancer.js';
import {
  buildPropagatedHeaders,
  type Call,
  type CallResult,
  toFailureRefusal,
  refuseExpired,
} from './CactusdealTrafficCall.js';
import { GateObservation } from './CactusdealTrafficGateState.js';
import { CallHeader } from './CactusdealTrafficHeaders.js';
import type { TrafficMetrics } from './CactusdealTrafficMetrics.js';
import type { ConnectionPools } from './CactusdealTrafficConnectionPools.js';
import { createNotRun, createRefusal } from './CactusdealTrafficRefusal.js';
import type { RetryBudget } from './CactusdealTrafficRetryBudget.js';
import { fetchAttemptState, watchSilence } from './CactusdealTrafficSilentConnection.js';
import { CallOutcome, type Gate, type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** Dependencies of the entry. */
export interface EntryContext {
  readonly balancer: Balancer;
  readonly budget: RetryBudget;
  /** Connections to gates. */
  readonly pools: ConnectionPools;
  readonly settings: Pick<CompleteSettings['calls'], 'idleTimeoutMs'>;
  readonly metrics: TrafficMetrics;
  readonly pacer: ChunkPacer;
  readonly deferredTasks: DeferredTasks;
  readonly log: Log;
  readonly clock: Clock;
  /** Serves a call at the gate of this process; undefined in a process without a gate. */
  readonly serveLocally: ((call: Call, gate: Gate) => Promise<CallResult>) | undefined;
  readonly memberId: string;
  /** Generates an unguessable attempt id. */
  readonly nextAttemptId: () => string;
}

const NO_UPSTREAM_RETRY_MS = 1000;
/** Attempts of one call that may end with an unknown outcome and still be retried. */
const MAX_UNKNOWN_OUTCOMES = 1;
const MIN_STALL_TIMEOUT_MS = 500;
const STALL_LATENCY_FACTOR = 10;

const NON_RETRYABLE_KINDS: ReadonlySet<RefusalKind> = new Set([
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

/** Sends a call to a gate, and after a retryable refusal to another one. */
export async function serveAtEntry(context: EntryContext, call: Call): Promise<CallResult> {
  const { service } = call.route.route;
  const propagated = context.budget.earn(service, call.budget);
  const triedGates = new Set<string>();
  let budget = propagated;
  let lastRefusal: Refusal | undefined;
  let unknownOutcomes = 0;
  for (;;) {
    const expired = refuseExpired(call, context.clock());
    if (expired !== undefined) return { type: 'refused', refusal: lastRefusal ?? expired };
    const choice = context.balancer.choose(call.route, triedGates);
    if (choice === undefined)
      return { type: 'refused', refusal: lastRefusal ?? refuseNoUpstream(service) };
    triedGates.add(choice.gate.memberId);
    const result = await tryGate(context, { ...call, budget }, choice);
    if (result.type !== 'refused') return result;
    // The caller's departure may have arrived together with this refusal.
    await context.deferredTasks.wait();
    lastRefusal = mergeOutcome(lastRefusal, result.refusal);
    if (result.refusal.outcome === CallOutcome.Unknown) unknownOutcomes += 1;
    if (lastRefusal.kind === RefusalKind.ConnectionSilent) triedGates.delete(choice.gate.memberId);
    const mayRetry =
      shouldRetry(call, lastRefusal, unknownOutcomes) && context.budget.spend(service);
    if (!mayRetry) return { type: 'refused', refusal: lastRefusal };
    context.metrics.recordRetry(lastRefusal.kind);
    budget = 0;
  }
}

/** Keeps the outcome unknown if an earlier attempt may have run, whatever the latest one says. */
function mergeOutcome(earlier: Refusal | undefined, refusal: Refusal): Refusal {
  const mayHaveRun = earlier?.outcome === CallOutcome.Unknown;
  const isNotRun = refusal.outcome === CallOutcome.NotRun;
  return mayHaveRun && isNotRun ? { ...refusal, outcome: CallOutcome.Unknown } : refusal;
}

const refuseNoUpstream = (service: string): Refusal =>
  createNotRun(
    RefusalKind.NoUpstream,
    `no upstream of service ${service} accepts calls`,
    NO_UPSTREAM_RETRY_MS,
  );

/** Whether a refused call may be retried, apart from the retry budget. */
function shouldRetry(call: Call, refusal: Refusal, unknownOutcomes: number): boolean {
  if (unknownOutcomes > MAX_UNKNOWN_OUTCOMES) return false;
  if (
    NON_RETRYABLE_KINDS.has(refusal.kind) ||
    call.lifetime.signal.aborted ||
    !call.body.canTake()
  ) {
    return false;
  }
  if (refusal.outcome === CallOutcome.NotRun) return true;
  return refusal.outcome === CallOutcome.Unknown && call.route.route.effect === 'idempotent';
}

async function tryGate(context: EntryContext, call: Call, choice: GateChoice): Promise<CallResult> {
  const startedAtMs = context.clock();
  const { gate } = choice;
  const result =
    gate.memberId === context.memberId && context.serveLocally !== undefined
      ? await context.serveLocally(call, gate)
      : await sendToGate(context, call, choice);
  choice.finish(toGateObservation(result), context.clock() - startedAtMs);
  return result;
}

/** Why an attempt got no response: its state at the gate, or that the gate is unreachable. */
type StallCause = AttemptState | 'unreachable' | undefined;

async function sendToGate(
  context: EntryContext,
  call: Call,
  choice: GateChoice,
): Promise<CallResult> {
  const { gate } = choice;
  const id = context.nextAttemptId();
  const sentAtMs = context.clock();
  let stallCause: StallCause;
  const attempt = startAttempt({
    ...buildAttempt(context, call, gate, id),
    sink: createWatchedSink(),
  });
  const watch = watchSilence(computeStallTimeoutMs(call, choice, sentAtMs), async () => {
    stallCause = await findStallCause(context, gate, id, sentAtMs);
    if (stallCause === undefined) return false;
    attempt.abandon();
    return true;
  });
  const result = await attempt.result;
  watch.stop();
  return toCallResult(call, result, stallCause);

  function createWatchedSink(): ResponseSink {
    const { sink } = call;
    return {
      ...sink,
      start: (head, resume) => {
        watch.stop();
        call.lifetime.stopDeadline();
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
  const callerHeaders = call.caller === '' ? [] : [CallHeader.Caller, call.caller];
  const gateHeaders = [CallHeader.Gate, gate.worker, CallHeader.Attempt, id, ...callerHeaders];
  return {
    dispatcher: context.pools.get(gate.address),
    method: call.method,
    path: call.path,
    headers: [...call.headers, ...buildPropagatedHeaders(call, context.clock()), ...gateHeaders],
    body: call.body.take(),
    signal: call.lifetime.signal,
    idleTimeoutMs: context.settings.idleTimeoutMs,
    toDaemon: true,
    queuedMs: 0,
    pacer: context.pacer,
    clock: context.clock,
  };
}

/**
 * Time without a response after which the gate is queried: a multiple of its latency, but at most
 * half of the remaining time, so that a retry is still possible.
 */
function computeStallTimeoutMs(call: Call, { latencyMs }: GateChoice, nowMs: number): number {
  const halfMs = (call.deadlineAtMs - nowMs) / 2;
  return Math.min(Math.max(MIN_STALL_TIMEOUT_MS, STALL_LATENCY_FACTOR * (latencyMs ?? 0)), halfMs);
}

/** Queries the gate about a stalled attempt; undefined if the attempt is still running. */
async function findStallCause(
  context: EntryContext,
  gate: Gate,
  id: string,
  sentAtMs: number,
): Promise<StallCause> {
  const ageMs = context.clock() - sentAtMs;
  const state = await fetchAttemptState(gate.address, id, ageMs);
  if (state === undefined) return 'unreachable';
  if (state === AttemptState.Running) return undefined;
  context.pools.replace(gate.address);
  context.metrics.recordSilentConnection();
  context.log.warn('connection-silent', { gate: gate.memberId, attempt: state });
  return state;
}

function toCallResult(call: Call, result: AttemptResult, stallCause: StallCause): CallResult {
  if (result.type !== 'failed') return result;
  if (result.started) return { type: 'cut' };
  return { type: 'refused', refusal: refuseStalled(stallCause) ?? toFailureRefusal(call, result) };
}

function refuseStalled(stallCause: StallCause): Refusal | undefined {
  if (stallCause === undefined) return undefined;
  if (stallCause === 'unreachable') {
    const message = 'the gate does not answer over a new connection';
    return createRefusal(RefusalKind.UpstreamFailed, message, CallOutcome.Unknown);
  }
  const outcome = stallCause === AttemptState.Barred ? CallOutcome.NotRun : CallOutcome.Unknown;
  return createRefusal(
    RefusalKind.ConnectionSilent,
    'the connection to the gate went silent',
    outcome,
  );
}

function toGateObservation(result: CallResult): GateObservation {
  if (result.type === 'answered') return GateObservation.Answered;
  if (result.type === 'cut') return GateObservation.None;
  switch (result.refusal.kind) {
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
