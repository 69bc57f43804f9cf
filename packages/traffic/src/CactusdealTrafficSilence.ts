import { request as sendRequest } from 'node:http';
import { connect } from 'node:net';
import type { AttemptState } from './CactusdealTrafficAttemptLog.js';
import { parseAttemptState } from './CactusdealTrafficAttemptLog.js';
import { CallHeader } from './CactusdealTrafficHeaders.js';

/** Watches one attempt that has brought no answer yet. */
export interface SilenceWatch {
  /** Ends the watch: an answer began, or the attempt is over. */
  stop(): void;
}

/** Longest wait for a new connection to answer a question, in milliseconds. */
const QUESTION_TIMEOUT_MS = 1000;

/**
 * Calls `check` each time `delayMs` passes without an answer, one check after the other, until it
 * says that the watch is over or `stop` is called.
 */
export function watchSilence(delayMs: number, check: () => Promise<boolean>): SilenceWatch {
  let stopped = false;
  let timer = setTimeout(handleSilence, delayMs);
  return {
    stop: () => {
      stopped = true;
      clearTimeout(timer);
    },
  };

  function handleSilence(): void {
    void check().then((over) => {
      if (!over && !stopped) timer = setTimeout(handleSilence, delayMs);
    });
  }
}

/**
 * Asks a gate over a new connection what became of an attempt; undefined when no new connection
 * works either.
 */
export function fetchAttemptState(
  address: string,
  id: string,
  ageMs: number,
): Promise<AttemptState | undefined> {
  return new Promise((resolve) => {
    const { hostname, port } = new URL(`http://${address}`);
    const question = sendRequest(
      {
        host: hostname.replace(/^\[|\]$/g, ''),
        port,
        method: 'OPTIONS',
        path: '*',
        agent: false,
        timeout: QUESTION_TIMEOUT_MS,
        headers: { [CallHeader.Attempt]: id, [CallHeader.AttemptAgeMs]: ageMs.toFixed(0) },
      },
      (answer) => {
        answer.resume();
        resolve(parseAttemptState(answer.headers[CallHeader.Attempt] as string | undefined));
      },
    );
    question.once('timeout', () => question.destroy());
    question.once('close', () => resolve(undefined));
    question.once('error', () => resolve(undefined));
    question.end();
  });
}

/** Answers whether something takes new connections at the address. */
export function probeAddress(address: string): Promise<boolean> {
  const { hostname, port } = new URL(`http://${address}`);
  return new Promise((resolve) => {
    const host = hostname.replace(/^\[|\]$/g, '');
    const socket = connect({ host, port: Number(port || '80'), timeout: QUESTION_TIMEOUT_MS });
    const finish = (reached: boolean): void => {
      socket.destroy();
      resolve(reached);
    };
    socket.once('connect', () => finish(true));
    socket.once('timeout', () => finish(false));
    socket.once('error', () => finish(false));
  });
}
