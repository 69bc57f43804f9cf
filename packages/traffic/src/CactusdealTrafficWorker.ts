import type { CompleteSettings } from '@cactusdeal/schema';
import { type ChunkPacer, type Clock, type Log, probeAddress } from '@cactusdeal/shared';
import {
  type ResponseSink,
  type Attempt,
  type AttemptResult,
  startAttempt,
} from './CactusdealTrafficAttempt.js';
import { buildPropagatedHeaders, type Call } from './CactusdealTrafficCall.js';
import type { TrafficMetrics } from './CactusdealTrafficMetrics.js';
import type { ClaimTicket } from './CactusdealTrafficPolicyTypes.js';
import type { ConnectionPools } from './CactusdealTrafficConnectionPools.js';
import type { UpstreamProgress } from './CactusdealTrafficUpstreamProgress.js';
import { watchSilence } from './CactusdealTrafficSilentConnection.js';
import type { LocalWorker } from './CactusdealTrafficTypes.js';

/** Dependencies of sending a call to the worker. */
export interface WorkerContext {
  /** Connections to the worker. */
  readonly pools: ConnectionPools;
  readonly progress: UpstreamProgress;
  readonly settings: Pick<CompleteSettings['calls'], 'idleTimeoutMs'>;
  readonly metrics: TrafficMetrics;
  readonly pacer: ChunkPacer;
  readonly log: Log;
  readonly clock: Clock;
}

/** The result of an attempt, and whether it was abandoned because its connection went silent. */
export interface WorkerResult {
  readonly result: AttemptResult;
  readonly silent: boolean;
}

/** Sends a call to the worker and abandons it if its connection is found to be silent. */
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
    sink: createWatchedSink(),
  });
  const watch = watchSilence(context.progress.getStallTimeoutMs(className), async () => {
    silent = await shouldAbandon(context, call, worker, sentAtMs);
    if (silent) attempt.abandon();
    return silent;
  });
  const result = await attempt.result;
  watch.stop();
  return { result, silent };

  function createWatchedSink(): ResponseSink {
    const { sink } = call;
    return {
      ...sink,
      start: (head, resume) => {
        watch.stop();
        ticket?.complete(head.status);
        call.lifetime.stopDeadline();
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
    headers: [...call.headers, ...buildPropagatedHeaders(call, context.clock())],
    body: call.body.take(),
    signal: call.lifetime.signal,
    idleTimeoutMs: context.settings.idleTimeoutMs,
    toDaemon: false,
    queuedMs,
    pacer: context.pacer,
    clock: context.clock,
  };
}

/**
 * Whether to abandon a stalled call because its connection is silent: later calls have been answered,
 * a new connection works, and the call may run again. Calls without a retry budget, such as retries,
 * are never abandoned, so that a call that is only slow can end. The pool is replaced in any case if
 * later calls have been answered and a new connection works.
 */
async function shouldAbandon(
  context: WorkerContext,
  call: Call,
  worker: LocalWorker,
  sentAtMs: number,
): Promise<boolean> {
  if (!context.progress.hasAnsweredLaterCall(sentAtMs) || !(await probeAddress(worker.address)))
    return false;
  context.pools.replace(worker.address);
  if (call.route.route.effect !== 'idempotent' || call.budget === 0) return false;
  context.metrics.recordSilentConnection();
  context.log.warn('connection-silent', { worker: worker.name });
  return true;
}
