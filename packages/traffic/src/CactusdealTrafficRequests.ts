import type { IncomingMessage, ServerResponse } from 'node:http';
import { type ChunkPacer, createPausableRequest, type DeferredTasks } from '@cactusdeal/shared';
import { type Either, Left } from 'purify-ts';
import { AttemptState, type AttemptLog } from './CactusdealTrafficAttemptLog.js';
import { type CallBody, readBody } from './CactusdealTrafficBody.js';
import {
  type Call,
  type CallLifetime,
  type CallResult,
  startCallLifetime,
} from './CactusdealTrafficCall.js';
import { type EntryContext, serveAtEntry } from './CactusdealTrafficEntry.js';
import { type GateContext, serveAtGate } from './CactusdealTrafficGate.js';
import { CallHeader } from './CactusdealTrafficHeaders.js';
import {
  acceptHead,
  buildCall,
  type IntakeContext,
  parseCallHead,
  parseNumber,
} from './CactusdealTrafficIntake.js';
import type { CallRole, TrafficMetrics } from './CactusdealTrafficMetrics.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import { createResponseSink, sendRefusal } from './CactusdealTrafficResponse.js';
import { type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** Dependencies of serving a request. */
export interface RequestContext extends IntakeContext {
  readonly gate: GateContext;
  readonly entry: EntryContext;
  readonly attempts: AttemptLog;
  readonly metrics: TrafficMetrics;
  readonly pacer: ChunkPacer;
  readonly deferredTasks: DeferredTasks;
}

/**
 * Serves one request until its response has ended: as the gate if the request names a worker, else as
 * the entry. Attempts sent by other daemons are recorded, so that their state can be queried.
 */
export async function serveRequest(
  context: RequestContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const worker = request.headers[CallHeader.Gate];
  if (typeof worker !== 'string') {
    await serveCall(context, 'entry', request, response, (call) =>
      serveAtEntry(context.entry, call),
    );
    return;
  }
  const attempt = String(request.headers[CallHeader.Attempt] ?? '');
  if (attempt !== '' && !context.attempts.begin(attempt)) {
    const refusal = createNotRun(
      RefusalKind.Cancelled,
      'the sender had abandoned the attempt before it arrived',
    );
    sendRefusal(response, refusal);
    return;
  }
  await serveCall(context, 'gate', request, response, (call) =>
    serveAtGate(context.gate, call, worker),
  );
  if (attempt !== '') context.attempts.finish(attempt);
}

/** Answers another daemon's query for the state of an attempt. */
export function answerAttemptQuery(
  attempts: AttemptLog,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const attempt = String(request.headers[CallHeader.Attempt] ?? '');
  const ageMs = parseNumber(request.headers[CallHeader.AttemptAgeMs]);
  const isValid = attempt !== '' && ageMs !== undefined;
  const state = isValid ? attempts.query(attempt, ageMs) : AttemptState.Forgotten;
  response.writeHead(204, { [CallHeader.Attempt]: state, connection: 'close' });
  response.end();
}

async function serveCall(
  context: RequestContext,
  role: CallRole,
  request: IncomingMessage,
  response: ServerResponse,
  serve: (call: Call) => Promise<CallResult>,
): Promise<void> {
  const accepted = await acceptRequest(context, role, request, response);
  if (accepted.isLeft()) {
    const refusal = accepted.extract();
    context.metrics.recordRefusal(role, refusal);
    sendRefusal(response, refusal);
    return;
  }
  const call = accepted.unsafeCoerce();
  const result = await serve(call);
  call.lifetime.close();
  recordResult(context, role, call, result);
  if (result.type === 'refused') sendRefusal(response, result.refusal);
}

async function acceptRequest(
  context: RequestContext,
  role: CallRole,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<Either<Refusal, Call>> {
  const received = parseCallHead(request);
  const caller = role === 'entry' ? formatCaller(context) : received.caller;
  const head = acceptHead(context, { ...received, caller });
  if (head.isLeft()) return Left(head.extract());
  const accepted = head.unsafeCoerce();
  if (request.headers.expect !== undefined) response.writeContinue();
  const lifetime = startCallLifetime(accepted.remainingMs);
  cancelWhenLeft(lifetime, request, response);
  const body = await readRequestBody(request, accepted.route.route.maxBodyBytes, context.pacer);
  // The sender's departure may have arrived together with the request.
  await context.deferredTasks.wait();
  if (body.isLeft()) lifetime.close();
  const sink = createResponseSink(response);
  const depthIncrement = role === 'entry' ? 1 : 0;
  return body.map((callBody) =>
    buildCall(context, accepted, { body: callBody, lifetime, sink }, depthIncrement),
  );
}

/** Cancels the call when its sender closes the connection, or its side of it, before the response ends. */
function cancelWhenLeft(
  lifetime: CallLifetime,
  { socket }: IncomingMessage,
  response: ServerResponse,
): void {
  socket.once('end', lifetime.cancel);
  response.once('close', () => {
    socket.off('end', lifetime.cancel);
    if (!response.writableFinished) lifetime.cancel();
  });
}

/** Names the caller of a call that enters here: the services of the upstream on this host. */
function formatCaller({ gate }: RequestContext): string {
  return [...(gate.getLocalWorker()?.services ?? [])].sort().join(',');
}

function readRequestBody(
  request: IncomingMessage,
  maxBytes: number,
  pacer: ChunkPacer,
): Promise<Either<Refusal, CallBody>> {
  const pace = pacer.watch(createPausableRequest(request));
  request.once('close', () => pace.close());
  const contentLength = parseNumber(request.headers['content-length']);
  const chunked = request.headers['transfer-encoding'] !== undefined;
  return readBody(request, { contentLength, chunked }, maxBytes, pace);
}

function recordResult(
  context: RequestContext,
  role: CallRole,
  call: Call,
  result: CallResult,
): void {
  const { metrics } = context;
  const totalMs = context.clock() - call.startedAtMs;
  switch (result.type) {
    case 'refused':
      metrics.recordRefusal(role, result.refusal);
      metrics.recordCall(role, call.route, result.refusal.outcome, { totalMs });
      break;
    case 'cut':
      metrics.recordCall(role, call.route, 'cut', { totalMs });
      break;
    default: {
      const addedMs = result.responseAtMs - call.startedAtMs - result.upstreamMs;
      const { queuedMs } = result;
      metrics.recordCall(role, call.route, 'completed', { totalMs, addedMs, queuedMs });
    }
  }
}
