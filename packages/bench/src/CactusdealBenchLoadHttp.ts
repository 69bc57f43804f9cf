import { type Clock, formatError, type Random } from '@cactusdeal/shared';
import { buildIdempotencyKey, CallHeader } from '@cactusdeal/traffic';
import { type Dispatcher, Pool } from 'undici';
import type { Arrival, CallOutcome, LoadClass } from './CactusdealBenchLoadTypes.js';

/** Sends the calls of a load over HTTP. */
export interface HttpSender {
  send(arrival: Arrival): Promise<CallOutcome>;
  close(): Promise<void>;
}

export interface HttpSenderOptions {
  /** IP addresses and ports of daemons; calls go to them in round-robin order. */
  readonly targets: readonly string[];
  /** Maximum number of connections to one target. */
  readonly connections: number;
  /** Wall clock, for the timestamp in idempotency keys. */
  readonly clock: Clock;
  readonly random: Random;
}

const MAX_PATTERN_BYTES = 64 * 1024;

/**
 * Creates a sender. A call succeeds when its status is below 400 and its whole body was received.
 */
export function createHttpSender(options: HttpSenderOptions): HttpSender {
  const { connections } = options;
  const pools = options.targets.map((target) => new Pool(`http://${target}`, { connections }));
  let calls = 0;
  return {
    send: (arrival) => {
      const pool = pools[calls % pools.length] as Pool;
      calls += 1;
      return sendCall(pool, arrival.loadClass, options);
    },
    close: async () => {
      await Promise.all(pools.map((pool) => pool.close()));
    },
  };
}

async function sendCall(
  pool: Pool,
  loadClass: LoadClass,
  options: HttpSenderOptions,
): Promise<CallOutcome> {
  const { method, path, deadlineMs, bodyBytes } = loadClass;
  const signal = AbortSignal.timeout(deadlineMs);
  try {
    const answer = await pool.request({
      method,
      path,
      headers: buildHeaders(loadClass, options),
      body: bodyBytes > 0 ? buildBody(bodyBytes) : null,
      signal,
    });
    await answer.body.dump({ limit: Infinity, signal });
    return getOutcome(answer);
  } catch (caught) {
    return { label: signal.aborted ? 'timeout' : formatError(caught), isSuccess: false };
  }
}

function buildHeaders(loadClass: LoadClass, options: HttpSenderOptions): Record<string, string> {
  const deadline = { [CallHeader.DeadlineMs]: String(loadClass.deadlineMs) };
  const headers: Record<string, string> = { ...loadClass.headers, ...deadline };
  if (!loadClass.isKeyed) return headers;
  const key = buildIdempotencyKey(options.clock(), options.random);
  return { ...headers, [CallHeader.IdempotencyKey]: key };
}

function buildBody(bodyBytes: number): Buffer {
  return Buffer.alloc(
    bodyBytes,
    Buffer.alloc(Math.min(bodyBytes, MAX_PATTERN_BYTES), 'cactusdeal '),
  );
}

function getOutcome({ statusCode, headers }: Dispatcher.ResponseData): CallOutcome {
  const refusal = headers[CallHeader.Refusal];
  if (refusal !== undefined) return { label: String(refusal), isSuccess: false };
  const isSuccess = statusCode < 400;
  return { label: isSuccess ? 'ok' : `status-${statusCode}`, isSuccess };
}
