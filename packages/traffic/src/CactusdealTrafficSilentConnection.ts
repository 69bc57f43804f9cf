import { request as sendRequest } from 'node:http';
import { toSocketTarget } from '@cactusdeal/shared';
import type { AttemptState } from './CactusdealTrafficAttemptLog.js';
import { parseAttemptState } from './CactusdealTrafficAttemptLog.js';
import { CallHeader } from './CactusdealTrafficHeaders.js';

/** Watches an attempt without a response. */
export interface SilenceWatch {
  /** Ends the watch, because the response began or the attempt ended. */
  stop(): void;
}

/** Timeout of a query over a new connection, in milliseconds. */
const QUERY_TIMEOUT_MS = 1000;

/**
 * Calls `check` after `delayMs` without a response, and again `delayMs` after each check has ended,
 * until `check` resolves to true or `stop` is called.
 */
export function watchSilence(delayMs: number, check: () => Promise<boolean>): SilenceWatch {
  let isStopped = false;
  let timer = setTimeout(handleSilence, delayMs);
  return {
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };

  function handleSilence(): void {
    void check().then((isOver) => {
      if (!isOver && !isStopped) timer = setTimeout(handleSilence, delayMs);
    });
  }
}

/**
 * Queries a gate over a new connection for the state of an attempt; undefined if the gate cannot be
 * reached over a new connection either.
 */
export function fetchAttemptState(
  address: string,
  id: string,
  ageMs: number,
): Promise<AttemptState | undefined> {
  return new Promise((resolve) => {
    const query = sendRequest(
      {
        ...toSocketTarget(address),
        method: 'OPTIONS',
        path: '*',
        agent: false,
        timeout: QUERY_TIMEOUT_MS,
        headers: { [CallHeader.Attempt]: id, [CallHeader.AttemptAgeMs]: ageMs.toFixed(0) },
      },
      (response) => {
        response.resume();
        resolve(parseAttemptState(response.headers[CallHeader.Attempt] as string | undefined));
      },
    );
    query.once('timeout', () => query.destroy());
    query.once('close', () => resolve(undefined));
    query.once('error', () => resolve(undefined));
    query.end();
  });
}
