import { randomBytes } from 'node:crypto';
import type { Clock } from '@cactusdeal/shared';

/** State of an attempt, as known by the gate that it was sent to. */
export const AttemptState = {
  Running: 'running',
  /** It arrived and has ended; its response may have been lost. */
  Finished: 'finished',
  /** It has not arrived, and is refused if it still does. */
  Barred: 'barred',
  /** Unknown: it may have ended before the oldest attempt that is remembered. */
  Forgotten: 'forgotten',
} as const;
export type AttemptState = (typeof AttemptState)[keyof typeof AttemptState];

/** Records attempts, so that a sender whose connection went silent can query the state of one. */
export interface AttemptLog {
  /** Records that an attempt arrived; returns false if it is barred and must not run. */
  begin(id: string): boolean;
  finish(id: string): void;
  /** The state of an attempt sent `ageMs` ago, which is barred if it cannot have arrived yet. */
  query(id: string, ageMs: number): AttemptState;
}

/** Maximum number of finished attempts that are remembered. */
const MAX_FINISHED = 8192;
/** Maximum number of barred attempts; at this limit no further one is barred. */
const MAX_BARRED = 4096;
/** Longer than the network can delay a request whose sender has closed the connection. */
const BARRED_TTL_MS = 1_200_000;
/** Maximum network delay of a query, which is not part of the age that it states. */
const QUERY_DELAY_MARGIN_MS = 5000;

/** Creates an empty log; attempts that were sent earlier are reported as forgotten. */
export function createAttemptLog(clock: Clock, maxFinished = MAX_FINISHED): AttemptLog {
  const running = new Set<string>();
  /** End time of each attempt in milliseconds; oldest first. */
  const finished = new Map<string, number>();
  /** Time at which each attempt was barred, in milliseconds; oldest first. */
  const barred = new Map<string, number>();
  /** Every attempt that arrived after this time is still recorded. */
  let completeSinceMs = clock();

  return {
    begin: (id) => {
      if (barred.has(id)) return false;
      running.add(id);
      return true;
    },
    finish: (id) => {
      running.delete(id);
      finished.delete(id);
      finished.set(id, clock());
      if (finished.size > maxFinished) evictOldest();
    },
    query: (id, ageMs) => {
      if (running.has(id)) return AttemptState.Running;
      if (finished.has(id)) return AttemptState.Finished;
      const mayHaveRun = clock() - ageMs - QUERY_DELAY_MARGIN_MS < completeSinceMs;
      return !mayHaveRun && tryBar(id) ? AttemptState.Barred : AttemptState.Forgotten;
    },
  };

  function evictOldest(): void {
    const [id, atMs] = finished.entries().next().value as [string, number];
    finished.delete(id);
    completeSinceMs = atMs;
  }

  function tryBar(id: string): boolean {
    const nowMs = clock();
    for (const [oldId, atMs] of barred) {
      if (atMs + BARRED_TTL_MS > nowMs) break;
      barred.delete(oldId);
    }
    if (barred.size >= MAX_BARRED && !barred.has(id)) return false;
    if (!barred.has(id)) barred.set(id, nowMs);
    return true;
  }
}

/** Parses the answer to a query; anything unreadable is `Forgotten`. */
export function parseAttemptState(text: string | undefined): AttemptState {
  const states: readonly string[] = Object.values(AttemptState);
  return text !== undefined && states.includes(text)
    ? (text as AttemptState)
    : AttemptState.Forgotten;
}

const ID_PREFIX_BYTES = 12;

/** Creates a generator of unguessable attempt ids. */
export function createAttemptIds(): () => string {
  const prefix = randomBytes(ID_PREFIX_BYTES).toString('hex');
  let count = 0;
  return () => {
    count += 1;
    return `${prefix}-${count.toString(36)}`;
  };
}
