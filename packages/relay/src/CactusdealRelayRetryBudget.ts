import type { Clock } from '@cactusdeal/shared';

/** Limits retries to a fraction of the calls of each service. */
export interface RetryBudget {
  /** Credits the service for a new call. */
  deposit(service: string): void;
  /**
   * Takes one retry from the budget; false if none is left. `mayHaveRun` is false if the upstream
   * shed the last attempt.
   */
  tryWithdraw(service: string, mayHaveRun: boolean): boolean;
}

export interface RetryBudgetOptions {
  /** Retries credited for each call. */
  readonly ratio: number;
  /**
   * Retries credited for each call that may follow an attempt which may have run. A smaller part of
   * `ratio`, because each rerun also repeats the call's nested calls.
   */
  readonly rerunRatio: number;
  /** Initial and maximum balance of each service, in retries. */
  readonly reserve: number;
  /** Time in which an empty balance refills without calls, in milliseconds. */
  readonly refillMs: number;
  readonly clock: Clock;
}

/** Retries that one service has left. */
interface Balance {
  retries: number;
  /** Part of the retries that may follow an attempt which may have run. */
  reruns: number;
  refilledAtMs: number;
}

/**
 * Keeps one balance for each service. If every call of a service fails, retries add `ratio` to its
 * load, plus the slow refill of the reserve, so that they cannot keep an overloaded upstream down.
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { ratio, rerunRatio, reserve, refillMs, clock } = options;
  const balances = new Map<string, Balance>();
  return {
    deposit: (service) => {
      const balance = getBalance(service);
      balance.retries = Math.min(reserve, balance.retries + ratio);
      balance.reruns = Math.min(reserve, balance.reruns + rerunRatio);
    },
    tryWithdraw: (service, mayHaveRun) => {
      const balance = getBalance(service);
      if (balance.retries < 1 || (mayHaveRun && balance.reruns < 1)) return false;
      balance.retries -= 1;
      if (mayHaveRun) balance.reruns -= 1;
      return true;
    },
  };

  function getBalance(service: string): Balance {
    const nowMs = clock();
    const balance = balances.get(service);
    if (balance === undefined) {
      const created = { retries: reserve, reruns: reserve, refilledAtMs: nowMs };
      balances.set(service, created);
      return created;
    }
    const refill = ((nowMs - balance.refilledAtMs) * reserve) / refillMs;
    balance.retries = Math.min(reserve, balance.retries + refill);
    balance.reruns = Math.min(reserve, balance.reruns + refill);
    balance.refilledAtMs = nowMs;
    return balance;
  }
}
