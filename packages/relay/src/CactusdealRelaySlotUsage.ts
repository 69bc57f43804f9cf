/** Recent use of an upstream's slots by calls of each priority. */
export interface SlotUsage {
  /** Records the start of a call and its expected service time, in milliseconds. */
  record(priority: number, serviceMs: number, nowMs: number): void;
  /**
   * Estimates the mean number of slots in use by calls more urgent than `priority`; may be
   * fractional.
   */
  countMoreUrgentSlots(priority: number, nowMs: number): number;
}

interface PriorityUsage {
  /** Start of the first call. */
  readonly firstSeenAtMs: number;
  /** Sum of expected service times, decayed exponentially to `updatedAtMs`, in milliseconds. */
  decayedWorkMs: number;
  updatedAtMs: number;
}

/** Time constant of the exponential decay, in milliseconds. */
const DECAY_MS = 600;
/**
 * A younger sum is treated as this old, so that the first calls are not extrapolated too far; in
 * milliseconds.
 */
const MIN_AGE_MS = 100;

/**
 * Creates the usage record of one upstream.
 *
 * Load pattern: overload by less urgent calls next to a steady stream of short, more urgent calls.
 * Urgent calls overtake queued ones even if they arrive later, so the less urgent calls get only the
 * slots that the stream leaves free.
 */
export function createSlotUsage(): SlotUsage {
  const usageByPriority = new Map<number, PriorityUsage>();
  return {
    record: (priority, serviceMs, nowMs) => {
      const usage = usageByPriority.get(priority);
      if (usage === undefined) {
        usageByPriority.set(priority, {
          firstSeenAtMs: nowMs,
          decayedWorkMs: serviceMs,
          updatedAtMs: nowMs,
        });
        return;
      }
      usage.decayedWorkMs = computeDecayedMs(usage, nowMs) + serviceMs;
      usage.updatedAtMs = nowMs;
    },
    countMoreUrgentSlots: (priority, nowMs) => {
      let slots = 0;
      usageByPriority.forEach((usage, other) => {
        if (other < priority) slots += computeSlots(usage, nowMs);
      });
      return slots;
    },
  };
}

/**
 * Converts the decayed sum to slots in use; corrects for a sum that is still rising to its steady
 * state.
 */
function computeSlots(usage: PriorityUsage, nowMs: number): number {
  const ageMs = Math.max(MIN_AGE_MS, nowMs - usage.firstSeenAtMs);
  const warmUpFraction = 1 - Math.exp(-ageMs / DECAY_MS);
  return computeDecayedMs(usage, nowMs) / DECAY_MS / warmUpFraction;
}

function computeDecayedMs({ decayedWorkMs, updatedAtMs }: PriorityUsage, nowMs: number): number {
  return decayedWorkMs * Math.exp((updatedAtMs - nowMs) / DECAY_MS);
}
