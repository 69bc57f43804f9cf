import {
  type ByteBudget,
  type ChunkPacer,
  createByteCollector,
  explainInvalidStatus,
  isEndedByClose,
  type SourcePace,
} from '@cactusdeal/shared';
import type { Dispatcher } from 'undici';
import { findField } from './CactusdealRelayHeaders.js';
import type { UpstreamEnd, UpstreamRequest } from './CactusdealRelayUpstream.js';
import { type ConnectionState, startCounts } from './CactusdealRelayUpstreamSocket.js';

/** Largest body of an answer; a longer one breaks the request. */
export const MAX_ANSWER_BYTES = 32 * 1024 * 1024;
/** Most interim responses before an answer. */
const MAX_INTERIM_RESPONSES = 8;

/** What the handler of a request shares with its connection and its pool. */
interface HandlerContext {
  readonly state: ConnectionState;
  /** Bytes of unfinished answers over all requests of the pool. */
  readonly heldBytes: ByteBudget;
  readonly pacer: ChunkPacer;
}

/** Creates the handler that collects the answer to one request. */
export function createHandler(
  request: UpstreamRequest,
  idField: string,
  context: HandlerContext,
  settle: (end: UpstreamEnd) => void,
): Dispatcher.DispatchHandler {
  const { state, heldBytes, pacer } = context;
  let isSent = false;
  let interimResponses = 0;
  let status = 0;
  let headers: string[] = [];
  let pace: SourcePace | undefined;
  const body = createByteCollector({ maxBytes: MAX_ANSWER_BYTES, budget: heldBytes });
  return {
    onRequestStart: () => {
      isSent = true;
      startCounts(state);
    },
    onResponseStart: (controller, statusCode) => {
      const fault = explainInvalidStatus(statusCode);
      if (fault !== undefined) {
        controller.abort(new Error(fault));
        return;
      }
      if (statusCode < 200) {
        interimResponses += 1;
        if (interimResponses > MAX_INTERIM_RESPONSES)
          controller.abort(new Error(`more than ${MAX_INTERIM_RESPONSES} interim responses`));
        return;
      }
      status = statusCode;
      headers = decodeHeaders(controller.rawHeaders as Buffer[]);
      state.endsWithConnection = isEndedByClose(request.method, status, (name) =>
        findField(headers, name),
      );
      const echoed = findField(headers, idField);
      state.isNamed = echoed !== undefined && echoed === request.id;
      // An answer without a name may be a copy of one to an earlier request of the connection.
      const isOther = echoed === undefined ? state.requests > 1 : echoed !== request.id;
      if (request.id !== undefined && isOther) {
        const found = echoed ?? 'unknown';
        controller.abort(new Error(`answer to request ${found}, expected one to ${request.id}`));
      }
    },
    onResponseData: (controller, chunk) => {
      pace ??= pacer.watch(controller);
      pace.countChunk(chunk.length);
      state.bodyBytes += chunk.length;
      if (!body.add(chunk)) controller.abort(new Error(explainExcess(state.bodyBytes)));
    },
    onResponseEnd: () => {
      pace?.close();
      if (state.endsWithConnection) setImmediate(finishAnswer);
      else finishAnswer();
    },
    onResponseError: (_controller, error) => {
      pace?.close();
      body.discard();
      settle({ type: isSent ? 'broken' : 'unsent', message: error.message });
    },
  };

  function finishAnswer(): void {
    const fault = state.endsWithConnection ? state.end?.explainTruncation() : undefined;
    if (fault !== undefined) {
      body.discard();
      settle({ type: 'broken', message: fault });
      return;
    }
    settle({ type: 'answered', answer: { status, headers, body: body.take() } });
  }
}

function explainExcess(bodyBytes: number): string {
  return bodyBytes > MAX_ANSWER_BYTES
    ? `answer of more than ${MAX_ANSWER_BYTES} bytes`
    : `no memory after ${bodyBytes} bytes of the answer`;
}

function decodeHeaders(raw: readonly Buffer[] | undefined): string[] {
  return (raw ?? []).map((item) => item.toString('latin1'));
}
