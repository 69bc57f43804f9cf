import { randomBytes } from 'node:crypto';
import type { Clock } from '@cactusdeal/shared';

/** What a gate knows of an attempt that another daemon sent it. */
export const AttemptState = {
  Running: 'running',
  /** It was here and has ended, whatever its answer met on the way back. */
  Finished: 'finished',
  /** It never arrived, and is refused should it still arrive. */
  Barred: 'barred',
  /** It is older than what is remembered here. */
  Forgotten: 'forgotten',
} as const;
export type AttemptState = (typeof AttemptState)[keyof typeof AttemptState];

/** Remembers attempts, so that a sender whose connection went silent learns what became of one. */
export interface AttemptLog {
  /** Takes note of an attempt that arrived; false when it is barred and must not run. */
  begin(id: string): boolean;
  finish(id: string): void;
  /** Answers for an attempt that was sent `ageMs` ago; bars it when it cannot have arrived. */
  query(id: string, ageMs: number): AttemptState;
}

/** Ended attempts that are remembered. */
const MAX_FINISHED = 8192;
/** Barred attempts that are remembered; beyond them nothing more is barred. */
const MAX_BARRED = 4096;
/** Longer than the network can hold back a request whose sender has closed the connection. */
const BAR_MS = 1_200_000;
/** Longest time that a question may spend on its way beside the age that it states. */
const TRAVEL_MARGIN_MS = 5000;

/** Creates a log that remembers nothing from before its creation. */
export function createAttemptLog(clock: Clock, maxFinished = MAX_FINISHED): AttemptLog {
  const running = new Set<string>();
  /** When each ended, in milliseconds; oldest first. */
  const finished = new Map<string, number>();
  /** When each was barred, in milliseconds; oldest first. */
  const barred = new Map<string, number>();
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
      if (finished.size > maxFinished) discardOldest();
    },
    query: (id, ageMs) => {
      if (running.has(id)) return AttemptState.Running;
      if (finished.has(id)) return AttemptState.Finished;
      const mayHaveRun = clock() - ageMs - TRAVEL_MARGIN_MS < completeSinceMs;
      return !mayHaveRun && tryBar(id) ? AttemptState.Barred : AttemptState.Forgotten;
    },
  };

  function discardOldest(): void {
    const [id, atMs] = finished.entries().next().value as [string, number];
    finished.delete(id);
    completeSinceMs = atMs;
  }

  function tryBar(id: string): boolean {
    const nowMs = clock();
    for (const [old, atMs] of barred) {
      if (atMs + BAR_MS > nowMs) break;
      barred.delete(old);
    }
    if (barred.size >= MAX_BARRED && !barred.has(id)) return false;
    if (!barred.has(id)) barred.set(id, nowMs);
    return true;
  }
}

/** Reads an answer to a question; anything else is forgotten. */
export function parseAttemptState(text: string | undefined): AttemptState {
  const states: readonly string[] = Object.values(AttemptState);
  return text !== undefined && states.includes(text)
    ? (text as AttemptState)
    : AttemptState.Forgotten;
}

const NAME_BYTES = 12;

/** Creates a source of attempt names that nobody else can guess. */
export function createAttemptNames(): () => string {
  const prefix = randomBytes(NAME_BYTES).toString('hex');
  let count = 0;
  return () => {
    count += 1;
    return `${prefix}-${count.toString(36)}`;
  };
}
