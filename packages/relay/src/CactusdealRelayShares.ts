/** How many slots of an upstream the work of each priority has taken of late. */
export interface Shares {
  /** A call of the priority has started that is expected to take `serviceMs`. */
  record(priority: number, serviceMs: number, nowMs: number): void;
  /** Slots that work more urgent than the priority keeps taken. */
  countMoreUrgent(priority: number, nowMs: number): number;
}

interface Share {
  /** When the first call was seen. */
  readonly sinceMs: number;
  /** Slot time started in the last `MEMORY_MS`, faded by age, in milliseconds. */
  workMs: number;
  atMs: number;
}

const MEMORY_MS = 600;
/** Age from which on a share is believed, in milliseconds. */
const LEAST_AGE_MS = 100;

/**
 * Creates the memory of one upstream.
 *
 * Load pattern: a flood of less urgent work beside a steady stream of short, more urgent calls. Each of
 * those that comes later still goes first, so the flood gets only the slots that the stream leaves.
 */
export function createShares(): Shares {
  const shares = new Map<number, Share>();
  return {
    record: (priority, serviceMs, nowMs) => {
      const share = shares.get(priority);
      if (share === undefined) {
        shares.set(priority, { sinceMs: nowMs, workMs: serviceMs, atMs: nowMs });
        return;
      }
      share.workMs = computeFadedMs(share, nowMs) + serviceMs;
      share.atMs = nowMs;
    },
    countMoreUrgent: (priority, nowMs) => {
      let slots = 0;
      shares.forEach((share, other) => {
        if (other < priority) slots += computeSlots(share, nowMs);
      });
      return slots;
    },
  };
}

/** Work that is seen for a short time only has not reached its level in the memory yet. */
function computeSlots(share: Share, nowMs: number): number {
  const ageMs = Math.max(LEAST_AGE_MS, nowMs - share.sinceMs);
  const filledPart = 1 - Math.exp(-ageMs / MEMORY_MS);
  return computeFadedMs(share, nowMs) / MEMORY_MS / filledPart;
}

function computeFadedMs({ workMs, atMs }: Share, nowMs: number): number {
  return workMs * Math.exp((atMs - nowMs) / MEMORY_MS);
}
