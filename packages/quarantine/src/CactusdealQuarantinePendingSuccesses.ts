/** Successes whose fingerprints are not computed yet. */
export interface PendingSuccesses {
  /** Adds a success at `nowMs`; drops those that are not after `sinceMs`. */
  add(computeFingerprint: () => string, nowMs: number, sinceMs: number): void;
  count(): number;
  /** Removes all successes and passes on those after `sinceMs` with their times, oldest first. */
  flush(sinceMs: number, receive: (fingerprint: string, atMs: number) => void): void;
  clear(): void;
}

interface PendingSuccess {
  readonly atMs: number;
  readonly computeFingerprint: () => string;
}

/**
 * Creates an empty list. Times are in milliseconds on one clock.
 *
 * Load pattern: a steady stream of calls that succeed. Their fingerprints matter only once an upstream
 * has crashed, and a hash costs more than the rest of the bookkeeping of a call.
 */
export function createPendingSuccesses(): PendingSuccesses {
  const successes = new Set<PendingSuccess>();
  return {
    add: (computeFingerprint, nowMs, sinceMs) => {
      for (const oldest of successes) {
        if (oldest.atMs > sinceMs) break;
        successes.delete(oldest);
      }
      successes.add({ atMs: nowMs, computeFingerprint });
    },
    count: () => successes.size,
    flush: (sinceMs, receive) => {
      const flushed = [...successes];
      successes.clear();
      flushed.forEach(({ atMs, computeFingerprint }) => {
        if (atMs > sinceMs) receive(computeFingerprint(), atMs);
      });
    },
    clear: () => successes.clear(),
  };
}
