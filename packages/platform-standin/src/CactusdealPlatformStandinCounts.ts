/** Calls that the stand-in took since its start; those it refused are among them. */
export interface Counts {
  readonly total: number;
  /** By operation: get, put, delete, watch, lease. */
  readonly byOperation: Readonly<Record<string, number>>;
  /** By the part of the key before the first slash. */
  readonly byPrefix: Readonly<Record<string, number>>;
  /** Watches that wait now. */
  readonly waitingWatches: number;
}

/** Counts calls, a waiting watch as one. */
export interface Counter {
  count(operation: string, key: string): void;
  /** Counts a watch as waiting; returns what ends that. */
  countWaiting(): () => void;
  getCounts(): Counts;
}

/** Creates a counter at zero. */
export function createCounter(): Counter {
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
    countWaiting: () => {
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
