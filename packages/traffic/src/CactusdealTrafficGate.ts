import type { Clock } from '@cactusdeal/shared';
import type { AttemptResult } from './CactusdealTrafficAttempt.js';
import { isBodyTooLarge } from './CactusdealTrafficBody.js';
import { type Call, type CallEnd, explainFailure, refuseExpired } from './CactusdealTrafficCall.js';
import { CallHeader } from './CactusdealTrafficHeaders.js';
import type { Claims, ClaimTicket, GateQueue, Quarantine } from './CactusdealTrafficPolicyTypes.js';
import { computeFingerprint } from './CactusdealTrafficQuarantine.js';
import { createNotRun, createRefusal } from './CactusdealTrafficRefusal.js';
import { probeAddress } from './CactusdealTrafficSilence.js';
import {
  CallOutcome,
  type GetSnapshot,
  type LocalWorker,
  type Refusal,
  RefusalKind,
} from './CactusdealTrafficTypes.js';
import { sendToWorker, type WorkerParts } from './CactusdealTrafficWorker.js';

/** What the gate works with. */
export interface GateParts extends WorkerParts {
  readonly getSnapshot: GetSnapshot;
  readonly getLocalWorker: () => LocalWorker | undefined;
  readonly queue: GateQueue;
  readonly claims: Claims;
  readonly quarantine: Quarantine;
  /** Wall clock, by which the deadline of a claim is kept for other hosts. */
  readonly wallClock: Clock;
}

const UNREADY_RETRY_MS = 1000;

/** Serves a call at the upstream beside this daemon, for which `workerName` must still stand. */
export async function serveAtGate(
  parts: GateParts,
  call: Call,
  workerName: string,
): Promise<CallEnd> {
  const early = checkWorker(parts, call, workerName);
  if (early !== undefined) return { type: 'refused', refusal: early };
  const fingerprint = await getFingerprint(call);
  const quarantined = parts.quarantine.check(fingerprint);
  if (quarantined !== undefined) return { type: 'refused', refusal: quarantined };
  const admitted = await parts.queue.admit({
    className: call.route.route.class,
    rank: call.route.route.rank,
    share: call.route.route.share,
    worth: call.route.route.worth,
    deadlineAtMs: call.deadlineAtMs,
    signal: call.life.signal,
  });
  if (admitted.isLeft()) return { type: 'refused', refusal: admitted.extract() };
  const slot = admitted.unsafeCoerce();
  try {
    return await serveWithSlot(parts, call, workerName, fingerprint, slot.queuedMs);
  } finally {
    slot.release();
  }
}

async function serveWithSlot(
  parts: GateParts,
  call: Call,
  workerName: string,
  fingerprint: string,
  queuedMs: number,
): Promise<CallEnd> {
  const ticket = await claimKey(parts, call);
  if (ticket !== undefined && 'kind' in ticket) return { type: 'refused', refusal: ticket };
  const late = checkWorker(parts, call, workerName) ?? refuseExpired(call, parts.clock());
  if (late !== undefined) {
    await ticket?.abandon();
    return { type: 'refused', refusal: late };
  }
  const worker = parts.getLocalWorker() as LocalWorker;
  const { result, silent } = await sendToWorker(parts, call, worker, ticket, queuedMs);
  if (silent) return { type: 'refused', refusal: refuseSilent() };
  if (result.type === 'answered') {
    parts.quarantine.recordSuccess(fingerprint);
    return { ...result, queuedMs };
  }
  return finishFailed(parts, call, worker, fingerprint, ticket, result);
}

const refuseSilent = (): Refusal =>
  createRefusal(RefusalKind.ConnectionSilent, 'the connection went silent', CallOutcome.Unknown);

/** Why the worker gets no new call; undefined when it does. */
function checkWorker(parts: GateParts, call: Call, workerName: string): Refusal | undefined {
  const worker = parts.getLocalWorker();
  if (worker === undefined || worker.name !== workerName || worker.state === 'gone') {
    return createNotRun(RefusalKind.NoUpstream, `no worker ${workerName} is announced here`);
  }
  if (worker.state === 'draining' || parts.getSnapshot().drains[workerName] !== undefined) {
    return createNotRun(RefusalKind.Draining, `worker ${workerName} is draining`);
  }
  if (worker.state === 'starting') {
    return createNotRun(RefusalKind.NoUpstream, `${workerName} is starting`, UNREADY_RETRY_MS);
  }
  if (!worker.services.includes(call.route.route.service)) {
    return createNotRun(RefusalKind.NoUpstream, `${workerName} does not serve the service`);
  }
  return undefined;
}

async function claimKey(parts: GateParts, call: Call): Promise<ClaimTicket | Refusal | undefined> {
  const { route } = call.route;
  if (route.effect !== 'atMostOnce') return undefined;
  const { key } = call;
  if (key === undefined) {
    return createNotRun(RefusalKind.KeyMissing, `${CallHeader.IdempotencyKey} is required`);
  }
  const { signal } = call.life;
  const deadlineAtMs = parts.wallClock() + call.deadlineAtMs - parts.clock();
  const claimed = await parts.claims.claim({ service: route.service, key, deadlineAtMs, signal });
  return claimed.extract();
}

async function finishFailed(
  parts: GateParts,
  call: Call,
  worker: LocalWorker,
  fingerprint: string,
  ticket: ClaimTicket | undefined,
  result: Exclude<AttemptResult, { type: 'answered' }>,
): Promise<CallEnd> {
  if (result.type === 'refused') return result;
  if (!result.sent) await ticket?.abandon();
  const wanted = !call.life.signal.aborted && !isBodyTooLarge(result.cause);
  if (result.sent && wanted && !(await probeAddress(worker.address))) {
    parts.quarantine.recordCrash(fingerprint);
    parts.log.warn('upstream-crashed', { worker: worker.name, fingerprint });
  }
  if (result.started) return { type: 'cut' };
  return { type: 'refused', refusal: explainFailure(call, result) };
}

/** Fingerprints without the key, as a caller may send the same work again under a new one. */
async function getFingerprint({ route, method, path, body }: Call): Promise<string> {
  const { service } = route.route;
  return computeFingerprint({ service, method, path, body: await body.sample() });
}
