import type { LimitExchange, NamedLimit } from './CactusdealRelayTypes.js';

/** Number of daemons whose upstreams' limits are remembered; the oldest is evicted. */
const MAX_LIMITS = 1_000;

/**
 * Creates the record of the limits that upstreams of other daemons have named in answers passed on here,
 * by the id of the daemon beside them. A daemon that restarts has forgotten the limit of its upstream.
 */
export function createKnownLimits(): LimitExchange {
  const limits = new Map<string, NamedLimit>();
  return {
    getLimit: (memberId) => limits.get(memberId),
    recordLimit: (memberId, limit) => {
      limits.delete(memberId);
      if (limit === undefined) return;
      limits.set(memberId, limit);
      const [oldest] = limits.keys();
      if (limits.size > MAX_LIMITS && oldest !== undefined) limits.delete(oldest);
    },
  };
}
