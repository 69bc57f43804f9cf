import type { Clock } from '@cactusdeal/shared';

/** Bounds how often calls are sent to a further upstream. */
export interface RetryAccount {
  /** A call for the service has come. */
  earn(service: string): void;
  /** Takes one further sending; false when none is left. */
  spend(service: string): boolean;
}

export interface RetryAccountOptions {
  /** Further sendings earned by each call. */
  readonly ratio: number;
  /** Further sendings that every service starts with and that a quiet service gets back. */
  readonly reserve: number;
  /** Time in which a spent reserve is filled again, in milliseconds. */
  readonly refillMs: number;
  readonly clock: Clock;
}

interface Balance {
  tokens: number;
  atMs: number;
}

/**
 * Keeps one balance for each service. A service that fails all its calls gets `ratio` more load and
 * no more, so that retries cannot keep an overloaded upstream down.
 */
export function createRetryAccount(options: RetryAccountOptions): RetryAccount {
  const { ratio, reserve, refillMs, clock } = options;
  const balances = new Map<string, Balance>();
  return {
    earn: (service) => {
      const balance = getBalance(service);
      balance.tokens = Math.min(reserve, balance.tokens + ratio);
    },
    spend: (service) => {
      const balance = getBalance(service);
      if (balance.tokens < 1) return false;
      balance.tokens -= 1;
      return true;
    },
  };

  function getBalance(service: string): Balance {
    const nowMs = clock();
    const known = balances.get(service);
    if (known === undefined) {
      const created = { tokens: reserve, atMs: nowMs };
      balances.set(service, created);
      return created;
    }
    known.tokens = Math.min(reserve, known.tokens + ((nowMs - known.atMs) * reserve) / refillMs);
    known.atMs = nowMs;
    return known;
  }
}
