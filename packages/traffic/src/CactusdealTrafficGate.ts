import { computeFingerprint, type CrashWatch, type Quarantine } from '@cactusdeal/quarantine';
import type { Clock } from '@cactusdeal/shared';
import type { AttemptResult } from './CactusdealTrafficAttempt.js';
import { isBodyTooLarge } from './CactusdealTrafficBody.js';
import {
  type Call,
  type CallResult,
  toFailureRefusal,
  refuseExpired,
} from './CactusdealTrafficCall.js';
import { CallHeader } from './CactusdealTrafficHeaders.js';
import type { Claims, ClaimTicket, GateQueue } from './CactusdealTrafficPolicyTypes.js';
import { createNotRun, createRefusal } from './CactusdealTrafficRefusal.js';
import {
  CallOutcome,
  type GetSnapshot,
  type LocalWorker,
  type Refusal,
  RefusalKind,
} from './CactusdealTrafficTypes.js';
import { sendToWorker, type WorkerContext } from './CactusdealTrafficWorker.js';

/** Dependencies of the gate. */
export interface GateContext extends WorkerContext {
  readonly getSnapshot: GetSnapshot;
  readonly getLocalWorker: () => LocalWorker | undefined;
  readonly queue: GateQueue;
  readonly claims: Claims;
  readonly quarantine: Quarantine;
  readonly crashWatch: CrashWatch;
  /** Wall clock for the deadline of a claim, which other hosts compare with their own. */
  readonly wallClock: Clock;
}

const STARTING_RETRY_MS = 1000;
const MIN_SERVER_ERROR_STATUS = 500;

/** Serves a call at the local upstream, which must still be the worker named `workerName`. */
export async function serveAtGate(
  context: GateContext,
  call: Call,
  workerName: string,
): Promise<CallResult> {
  const refusal = checkWorker(context, call, workerName);
  if (refusal !== undefined) return { type: 'refused', refusal };
  const fingerprint = await computeCallFingerprint(call);
  const remainingMs = context.quarantine.getRemainingMs(fingerprint);
  if (remainingMs > 0)
    return { type: 'refused', refusal: refuseQuarantined(fingerprint, remainingMs) };
  const admitted = await context.queue.admit({
    className: call.route.route.class,
    rank: call.route.route.rank,
    share: call.route.route.share,
    worth: call.route.route.worth,
    deadlineAtMs: call.deadlineAtMs,
    signal: call.lifetime.signal,
  });
  if (admitted.isLeft()) return { type: 'refused', refusal: admitted.extract() };
  const slot = admitted.unsafeCoerce();
  try {
    return await serveWithSlot(context, call, workerName, fingerprint, slot.queuedMs);
  } finally {
    slot.release();
  }
}

async function serveWithSlot(
  context: GateContext,
  call: Call,
  workerName: string,
  fingerprint: string,
  queuedMs: number,
): Promise<CallResult> {
  const ticket = await claimKey(context, call);
  if (ticket !== undefined && 'kind' in ticket) return { type: 'refused', refusal: ticket };
  const lateRefusal =
    checkWorker(context, call, workerName) ?? refuseExpired(call, context.clock());
  if (lateRefusal !== undefined) {
    await ticket?.abandon();
    return { type: 'refused', refusal: lateRefusal };
  }
  const worker = context.getLocalWorker() as LocalWorker;
  const { result, silent } = await sendToWorker(context, call, worker, ticket, queuedMs);
  if (silent) return { type: 'refused', refusal: buildSilentRefusal() };
  if (result.type === 'answered') {
    if (result.status < MIN_SERVER_ERROR_STATUS) context.quarantine.recordSuccess(fingerprint);
    return { ...result, queuedMs };
  }
  return handleFailedAttempt(context, call, worker, fingerprint, ticket, result);
}

const refuseQuarantined = (fingerprint: string, remainingMs: number): Refusal =>
  createNotRun(
    RefusalKind.Quarantined,
    `request ${fingerprint} was in flight when upstreams crashed`,
    remainingMs,
  );

const buildSilentRefusal = (): Refusal =>
  createRefusal(
    RefusalKind.ConnectionSilent,
    'the connection to the upstream went silent',
    CallOutcome.Unknown,
  );

/** The reason why the worker may not receive a new call; undefined if it may. */
function checkWorker(context: GateContext, call: Call, workerName: string): Refusal | undefined {
  const worker = context.getLocalWorker();
  if (worker === undefined || worker.name !== workerName || worker.state === 'gone') {
    return createNotRun(
      RefusalKind.NoUpstream,
      `worker ${workerName} is not announced at this gate`,
    );
  }
  if (worker.state === 'draining' || context.getSnapshot().drains[workerName] !== undefined) {
    return createNotRun(RefusalKind.Draining, `worker ${workerName} is draining`);
  }
  if (worker.state === 'starting') {
    return createNotRun(
      RefusalKind.NoUpstream,
      `worker ${workerName} is starting`,
      STARTING_RETRY_MS,
    );
  }
  if (!worker.services.includes(call.route.route.service)) {
    return createNotRun(
      RefusalKind.NoUpstream,
      `worker ${workerName} does not serve ${call.route.route.service}`,
    );
  }
  return undefined;
}

async function claimKey(
  context: GateContext,
  call: Call,
): Promise<ClaimTicket | Refusal | undefined> {
  const { route } = call.route;
  if (route.effect !== 'atMostOnce') return undefined;
  const { key } = call;
  if (key === undefined) {
    return createNotRun(
      RefusalKind.KeyMissing,
      `${CallHeader.IdempotencyKey} is required by an atMostOnce route`,
    );
  }
  const { signal } = call.lifetime;
  const deadlineAtMs = context.wallClock() + call.deadlineAtMs - context.clock();
  const claimed = await context.claims.claim({ service: route.service, key, deadlineAtMs, signal });
  return claimed.extract();
}

async function handleFailedAttempt(
  context: GateContext,
  call: Call,
  worker: LocalWorker,
  fingerprint: string,
  ticket: ClaimTicket | undefined,
  result: Exclude<AttemptResult, { type: 'answered' }>,
): Promise<CallResult> {
  if (result.type === 'refused') return result;
  // Read before the waits below, in which other calls that a crash interrupted release their slots.
  const { inUse } = context.queue.getGauges();
  if (!result.sent) await ticket?.abandon();
  const isUpstreamFault = !call.lifetime.signal.aborted && !isBodyTooLarge(result.cause);
  const { address } = worker;
  if (result.sent && call.lifetime.signal.aborted)
    context.crashWatch.receiveCancelled({ address, fingerprint, untilMs: call.deadlineAtMs });
  if (!result.sent) context.crashWatch.receiveUnreachable(address);
  // A process that ends after its drain is no crash.
  const isDraining = context.getLocalWorker()?.state === 'draining';
  if (result.sent && isUpstreamFault && !isDraining) {
    await context.crashWatch.receiveInterrupted({ address, fingerprint, inFlight: inUse });
  }
  if (result.started) return { type: 'cut' };
  return { type: 'refused', refusal: toFailureRefusal(call, result) };
}

/** Leaves the idempotency key out, as a caller may resend the same request with a new key. */
async function computeCallFingerprint(call: Call): Promise<string> {
  const { caller, route, method, path } = call;
  const target = route.route.service;
  return computeFingerprint({ caller, target, method, path, body: await call.body.sample() });
}
