/** Numbers of calls that the stand-in received since its start, including those it refused. */
export interface CallCounts {
  readonly total: number;
  /** By operation: get, put, delete, watch, lease. */
  readonly byOperation: Readonly<Record<string, number>>;
  /** By the part of the key before the first slash. */
  readonly byPrefix: Readonly<Record<string, number>>;
  /** Watches that are waiting at present. */
  readonly waitingWatches: number;
}

/** Counts calls. A watch is one call, however long it waits. */
export interface CallCounter {
  /** Counts a call; `key` is empty for calls on leases. */
  count(operation: string, key: string): void;
  /** Counts a watch as waiting; returns the function to call when its wait has ended. */
  countWaitingWatch(): () => void;
  getCounts(): CallCounts;
}

/** Creates a counter that starts at zero. */
export function createCallCounter(): CallCounter {
  const byOperation = new Map<string, number>();
  const byPrefix = new Map<string, number>();
  let total = 0;
  let waitingWatches = 0;
  return {
    count: (operation, key) => {
      const prefix = key.split('/', 1)[0] ?? '';
      byOperation.set(operation, (byOperation.get(operation) ?? 0) + 1);
      if (key !== '') byPrefix.set(prefix, (byPrefix.get(prefix) ?? 0) + 1);
      total += 1;
    },
    countWaitingWatch: () => {
      waitingWatches += 1;
      return () => {
        waitingWatches -= 1;
      };
    },
    getCounts: () => ({
      total,
      byOperation: Object.fromEntries(byOperation),
      byPrefix: Object.fromEntries(byPrefix),
      waitingWatches,
    }),
  };
}
