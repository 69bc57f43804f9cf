import { type Clock, formatCaught, type Random } from '@cactusdeal/shared';
import { buildIdempotencyKey, CallHeader } from '@cactusdeal/traffic';
import { type Dispatcher, Pool } from 'undici';
import type { Arrival, CallEnding, LoadClass } from './CactusdealBenchLoadTypes.js';

/** Makes the calls of a load over HTTP. */
export interface HttpSender {
  send(arrival: Arrival): Promise<CallEnding>;
  close(): Promise<void>;
}

export interface HttpSenderOptions {
  /** IP numbers and ports of daemons; calls go to them in turn. */
  readonly targets: readonly string[];
  /** Most connections to one target. */
  readonly connections: number;
  /** Wall clock, for the time in idempotency keys. */
  readonly clock: Clock;
  readonly random: Random;
}

const BODY_CHUNK = 64 * 1024;

/** Creates a sender. A call ends well with a status under 400 and its whole body. */
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
): Promise<CallEnding> {
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
    return readEnding(answer);
  } catch (caught) {
    return { label: signal.aborted ? 'timeout' : formatCaught(caught), isGood: false };
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
  return Buffer.alloc(bodyBytes, Buffer.alloc(Math.min(bodyBytes, BODY_CHUNK), 'cactusdeal '));
}

function readEnding({ statusCode, headers }: Dispatcher.ResponseData): CallEnding {
  const refusal = headers[CallHeader.Refusal];
  if (refusal !== undefined) return { label: String(refusal), isGood: false };
  const isGood = statusCode < 400;
  return { label: isGood ? 'ok' : `status-${statusCode}`, isGood };
}
