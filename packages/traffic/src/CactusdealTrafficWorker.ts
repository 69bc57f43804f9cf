import type { CompleteSettings } from '@cactusdeal/schema';
import type { Clock, Log } from '@cactusdeal/shared';
import {
  type AnswerSink,
  type Attempt,
  type AttemptResult,
  startAttempt,
} from './CactusdealTrafficAttempt.js';
import { buildTreeHeaders, type Call } from './CactusdealTrafficCall.js';
import type { TrafficMetrics } from './CactusdealTrafficMetrics.js';
import type { ClaimTicket } from './CactusdealTrafficPolicyTypes.js';
import type { Pools } from './CactusdealTrafficPools.js';
import type { Progress } from './CactusdealTrafficProgress.js';
import { probeAddress, watchSilence } from './CactusdealTrafficSilence.js';
import type { LocalWorker } from './CactusdealTrafficTypes.js';

/** What sending to the worker needs. */
export interface WorkerContext {
  /** Connections to the worker. */
  readonly pools: Pools;
  readonly progress: Progress;
  readonly settings: Pick<CompleteSettings['calls'], 'idleTimeoutMs'>;
  readonly metrics: TrafficMetrics;
  readonly log: Log;
  readonly clock: Clock;
}

/** How an attempt at the worker ended, and whether its connection went silent. */
export interface WorkerResult {
  readonly result: AttemptResult;
  readonly silent: boolean;
}

/** Sends a call to the worker, and gives it up when its connection proves silent. */
export async function sendToWorker(
  context: WorkerContext,
  call: Call,
  worker: LocalWorker,
  ticket: ClaimTicket | undefined,
  queuedMs: number,
): Promise<WorkerResult> {
  const sentAtMs = context.clock();
  const className = call.route.route.class;
  let silent = false;
  const attempt = startAttempt({
    ...buildAttempt(context, call, worker, queuedMs),
    sink: watchSink(),
  });
  const watch = watchSilence(context.progress.getStallMs(className), async () => {
    silent = await isSilent(context, call, worker, sentAtMs);
    if (silent) attempt.abandon();
    return silent;
  });
  const result = await attempt.result;
  watch.stop();
  return { result, silent };

  function watchSink(): AnswerSink {
    const { sink } = call;
    return {
      ...sink,
      start: (head, resume) => {
        watch.stop();
        ticket?.complete(head.status);
        call.life.stopDeadline();
        context.progress.record(className, sentAtMs, context.clock() - sentAtMs);
        sink.start(head, resume);
      },
    };
  }
}

function buildAttempt(
  context: WorkerContext,
  call: Call,
  worker: LocalWorker,
  queuedMs: number,
): Omit<Attempt, 'sink'> {
  return {
    dispatcher: context.pools.get(worker.address),
    method: call.method,
    path: call.path,
    headers: [...call.headers, ...buildTreeHeaders(call, context.clock())],
    body: call.body.take(),
    signal: call.life.signal,
    idleTimeoutMs: context.settings.idleTimeoutMs,
    toDaemon: false,
    queuedMs,
    clock: context.clock,
  };
}

/**
 * Whether a call without an answer is to be given up for its connection: a new one works, later calls
 * have been answered, and the call may run again. A second attempt is never given up, so that a call
 * which is merely slow ends.
 */
async function isSilent(
  context: WorkerContext,
  call: Call,
  worker: LocalWorker,
  sentAtMs: number,
): Promise<boolean> {
  if (!context.progress.hasOvertaken(sentAtMs) || !(await probeAddress(worker.address)))
    return false;
  context.pools.renew(worker.address);
  if (call.route.route.effect !== 'idempotent' || call.budget === 0) return false;
  context.metrics.recordSilentConnection();
  context.log.warn('connection-silent', { worker: worker.name });
  return true;
}
