import type { IncomingMessage, ServerResponse } from 'node:http';
import { type Either, Left } from 'purify-ts';
import { AttemptState, type AttemptLog } from './CactusdealTrafficAttemptLog.js';
import { type CallBody, readBody } from './CactusdealTrafficBody.js';
import { type Call, type CallEnd, startCallLife } from './CactusdealTrafficCall.js';
import { type EntryContext, serveAtEntry } from './CactusdealTrafficEntry.js';
import { type GateContext, serveAtGate } from './CactusdealTrafficGate.js';
import { CallHeader } from './CactusdealTrafficHeaders.js';
import {
  acceptHead,
  buildCall,
  type IntakeContext,
  readHead,
  readNumber,
} from './CactusdealTrafficIntake.js';
import type { CallRole, TrafficMetrics } from './CactusdealTrafficMetrics.js';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import { createResponseSink, sendRefusal } from './CactusdealTrafficResponse.js';
import { type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

/** What serving one request needs. */
export interface RequestContext extends IntakeContext {
  readonly gate: GateContext;
  readonly entry: EntryContext;
  readonly attempts: AttemptLog;
  readonly metrics: TrafficMetrics;
}

/**
 * Serves one request to its end, from the gate when it names one and as the entry otherwise. An
 * attempt of another daemon is remembered for as long as it may be asked about.
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
      'the attempt was given up before it arrived',
    );
    sendRefusal(response, refusal);
    return;
  }
  await serveCall(context, 'gate', request, response, (call) =>
    serveAtGate(context.gate, call, worker),
  );
  if (attempt !== '') context.attempts.finish(attempt);
}

/** Answers another daemon's question what became of an attempt. */
export function answerQuestion(
  attempts: AttemptLog,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const attempt = String(request.headers[CallHeader.Attempt] ?? '');
  const ageMs = readNumber(request.headers[CallHeader.AttemptAgeMs]);
  const known = attempt !== '' && ageMs !== undefined;
  const state = known ? attempts.query(attempt, ageMs) : AttemptState.Forgotten;
  response.writeHead(204, { [CallHeader.Attempt]: state, connection: 'close' });
  response.end();
}

async function serveCall(
  context: RequestContext,
  role: CallRole,
  request: IncomingMessage,
  response: ServerResponse,
  serve: (call: Call) => Promise<CallEnd>,
): Promise<void> {
  const accepted = await acceptRequest(context, role, request, response);
  if (accepted.isLeft()) {
    const refusal = accepted.extract();
    context.metrics.recordRefusal(role, refusal);
    sendRefusal(response, refusal);
    return;
  }
  const call = accepted.unsafeCoerce();
  const end = await serve(call);
  call.life.close();
  recordEnd(context, role, call, end);
  if (end.type === 'refused') sendRefusal(response, end.refusal);
}

async function acceptRequest(
  context: RequestContext,
  role: CallRole,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<Either<Refusal, Call>> {
  const head = acceptHead(context, readHead(request));
  if (head.isLeft()) return Left(head.extract());
  const accepted = head.unsafeCoerce();
  if (request.headers.expect !== undefined) response.writeContinue();
  const life = startCallLife(accepted.remainingMs);
  response.once('close', () => {
    if (!response.writableFinished) life.cancel();
  });
  const body = await readRequestBody(request, accepted.route.route.maxBodyBytes);
  if (body.isLeft()) life.close();
  const sink = createResponseSink(response);
  const levels = role === 'entry' ? 1 : 0;
  return body.map((read) => buildCall(context, accepted, { body: read, life, sink }, levels));
}

function readRequestBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Either<Refusal, CallBody>> {
  const contentLength = readNumber(request.headers['content-length']);
  const chunked = request.headers['transfer-encoding'] !== undefined;
  return readBody(request, { contentLength, chunked }, maxBytes);
}

function recordEnd(context: RequestContext, role: CallRole, call: Call, end: CallEnd): void {
  const { metrics } = context;
  const totalMs = context.clock() - call.startedAtMs;
  switch (end.type) {
    case 'refused':
      metrics.recordRefusal(role, end.refusal);
      metrics.recordCall(role, call.route, end.refusal.outcome, { totalMs });
      break;
    case 'cut':
      metrics.recordCall(role, call.route, 'cut', { totalMs });
      break;
    default: {
      const addedMs = end.headAtMs - call.startedAtMs - end.upstreamMs;
      const { queuedMs } = end;
      metrics.recordCall(role, call.route, 'completed', { totalMs, addedMs, queuedMs });
    }
  }
}
