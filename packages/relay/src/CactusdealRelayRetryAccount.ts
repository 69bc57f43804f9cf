import type { Clock } from '@cactusdeal/shared';

/** Bounds how often calls are sent to a further upstream. */
export interface RetryAccount {
  /** A call for the service has come. */
  earn(service: string): void;
  /** Takes one further sending, of a call that may have run or that was only turned away; false when none is left. */
  spend(service: string, mayHaveRun: boolean): boolean;
}

export interface RetryAccountOptions {
  /** Further sendings earned by each call. */
  readonly ratio: number;
  /** Those among them that may repeat a run; a run that is repeated makes its own calls again. */
  readonly repeatRatio: number;
  /** Further sendings that every service starts with and that a quiet service gets back. */
  readonly reserve: number;
  /** Time in which a spent reserve is filled again, in milliseconds. */
  readonly refillMs: number;
  readonly clock: Clock;
}

/** Further sendings that one service has left. */
interface Balance {
  all: number;
  repeats: number;
  atMs: number;
}

/**
 * Keeps one balance for each service. A service that fails all its calls gets `ratio` more load and
 * no more, so that retries cannot keep an overloaded upstream down.
 */
export function createRetryAccount(options: RetryAccountOptions): RetryAccount {
  const { ratio, repeatRatio, reserve, refillMs, clock } = options;
  const balances = new Map<string, Balance>();
  return {
    earn: (service) => {
      const balance = getBalance(service);
      balance.all = Math.min(reserve, balance.all + ratio);
      balance.repeats = Math.min(reserve, balance.repeats + repeatRatio);
    },
    spend: (service, mayHaveRun) => {
      const balance = getBalance(service);
      if (balance.all < 1 || (mayHaveRun && balance.repeats < 1)) return false;
      balance.all -= 1;
      if (mayHaveRun) balance.repeats -= 1;
      return true;
    },
  };

  function getBalance(service: string): Balance {
    const nowMs = clock();
    const known = balances.get(service);
    if (known === undefined) {
      const created = { all: reserve, repeats: reserve, atMs: nowMs };
      balances.set(service, created);
      return created;
    }
    const refilled = ((nowMs - known.atMs) * reserve) / refillMs;
    known.all = Math.min(reserve, known.all + refilled);
    known.repeats = Math.min(reserve, known.repeats + refilled);
    known.atMs = nowMs;
    return known;
  }
}
