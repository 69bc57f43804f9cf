import type { Clock } from '@cactusdeal/shared';
import type { Claims } from '@cactusdeal/traffic';

/**
 * Adapts claims, whose deadlines other daemons read and which are therefore dated, to a gate whose
 * deadlines are by a clock that never goes back.
 */
export function convertClaimDeadlines(
  claims: Claims,
  clocks: { readonly gate: Clock; readonly wall: Clock },
): Claims {
  return {
    claim: (request) => {
      const remainingMs = request.deadlineAtMs - clocks.gate();
      return claims.claim({ ...request, deadlineAtMs: clocks.wall() + remainingMs });
    },
    close: () => claims.close(),
  };
}
