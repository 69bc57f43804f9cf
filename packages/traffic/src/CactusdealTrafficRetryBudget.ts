/** Token buckets, one per service: calls add tokens and retries remove them. */
export interface RetryBudget {
  /** Adds a fraction of a call's received budget as tokens; returns the rest, to be propagated. */
  earn(service: string, received: number): number;
  /** Removes one token; returns false if there is less than one. */
  spend(service: string): boolean;
}

const INITIAL_TOKENS = 2;
const MAX_TOKENS = 20;
/** Fraction of the received budget that each level of a call tree earns. */
const EARNED_FRACTION = 0.5;

/**
 * Creates a retry budget. Every call carries a budget down the call tree and each level earns a
 * fraction of it, so that the levels of one path together never earn more than the root's budget,
 * however deep the tree is. A retry costs one token and propagates no budget.
 */
export function createRetryBudget(): RetryBudget {
  const tokens = new Map<string, number>();
  return {
    earn: (service, received) => {
      const earned = received * EARNED_FRACTION;
      const balance = tokens.get(service) ?? INITIAL_TOKENS;
      tokens.set(service, Math.min(MAX_TOKENS, balance + earned));
      return received - earned;
    },
    spend: (service) => {
      const balance = tokens.get(service) ?? INITIAL_TOKENS;
      if (balance < 1) return false;
      tokens.set(service, balance - 1);
      return true;
    },
  };
}
