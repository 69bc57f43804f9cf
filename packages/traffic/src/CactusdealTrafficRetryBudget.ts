/** Tokens that an entry earns with calls and spends on retries. */
export interface RetryBudget {
  /** Earns a part of the call's travelling budget and answers what is left to travel on. */
  earn(service: string, travelling: number): number;
  /** Spends one token; false when there is none. */
  spend(service: string): boolean;
}

const INITIAL_TOKENS = 2;
const MAX_TOKENS = 20;
/** Part of the travelling budget that is earned at each level of a tree. */
const LEVEL_SHARE = 0.5;

/**
 * Creates the accounts, one for each service. Each call of a tree carries a budget of which every
 * level keeps a part, so that all levels on one path together earn no more than the budget, however
 * deep the tree is; a retry is one token and carries no budget on.
 */
export function createRetryBudget(): RetryBudget {
  const tokens = new Map<string, number>();
  return {
    earn: (service, travelling) => {
      const kept = travelling * LEVEL_SHARE;
      const held = tokens.get(service) ?? INITIAL_TOKENS;
      tokens.set(service, Math.min(MAX_TOKENS, held + kept));
      return travelling - kept;
    },
    spend: (service) => {
      const held = tokens.get(service) ?? INITIAL_TOKENS;
      if (held < 1) return false;
      tokens.set(service, held - 1);
      return true;
    },
  };
}
