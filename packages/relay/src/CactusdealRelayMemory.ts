import { type ByteBudget, createByteBudget } from '@cactusdeal/shared';

/** What the parts of a daemon may hold of what others send; all together stay within its host's memory. */
export interface MemoryBudgets {
  /** Bodies of callers' calls, from their arrival to the end of the calls. */
  readonly callers: ByteBudget;
  /** Unfinished messages and answers on links, and bodies of calls that other daemons sent. */
  readonly links: ByteBudget;
  /** Unfinished answers of the upstream. */
  readonly answers: ByteBudget;
}

const MB = 1024 * 1024;
const MAX_CALLER_BYTES = 64 * MB;
const MAX_LINK_BYTES = 96 * MB;
/** Most bytes of unfinished answers that a pool holds; the answer that exceeds it is broken. */
export const MAX_ANSWERS_BYTES = 64 * MB;
/** Memory of the runtime, the code, the parsers and the state that does not depend on what others send. */
const RUNTIME_BYTES = 110 * MB;
/** Least memory that is shared out, for hosts that have hardly more than the runtime takes. */
const MIN_SHARED_BYTES = 16 * MB;
/**
 * Each byte held counts this often: what arrives in pieces is put together in a copy, and buffers that were
 * released stay resident until the runtime collects them.
 */
const COPIES = 2;
/** Released bytes, with their copies, after which garbage is collected. */
const COLLECT_BYTES = 48 * MB;

/**
 * Creates the budgets of a daemon on a host with `hostBytes` of memory; without it only the limits of each
 * part hold.
 *
 * Load pattern: a crowd of callers with large bodies, while links and the upstream deliver large messages. Limits
 * of their own for each part add up to more than a small host has.
 */
export function createMemoryBudgets(
  hostBytes = Infinity,
  collectGarbage?: () => unknown,
): MemoryBudgets {
  const sharedBytes = Math.max(MIN_SHARED_BYTES, hostBytes - RUNTIME_BYTES);
  const shared = createCollectedBudget(createByteBudget(sharedBytes), collectGarbage);
  const createPart = (maxBytes: number): ByteBudget =>
    createShare(shared, Math.min(maxBytes, sharedBytes / COPIES));
  return {
    callers: createPart(MAX_CALLER_BYTES),
    links: createPart(MAX_LINK_BYTES),
    answers: createPart(MAX_ANSWERS_BYTES),
  };
}

/**
 * Creates a budget that collects garbage after each `COLLECT_BYTES` that are released. The runtime lets released
 * buffers that survived its collections of young objects lie until they are several times as much.
 */
function createCollectedBudget(budget: ByteBudget, collectGarbage?: () => unknown): ByteBudget {
  if (collectGarbage === undefined) return budget;
  let garbageBytes = 0;
  return {
    take: (bytes) => budget.take(bytes),
    release: (bytes) => {
      budget.release(bytes);
      garbageBytes += bytes;
      if (garbageBytes < COLLECT_BYTES) return;
      garbageBytes = 0;
      // In the next turn, the code that released the buffers has dropped its references.
      setImmediate(() => collectGarbage());
    },
  };
}

/** Creates a budget of `maxBytes` whose bytes are taken from `shared` as well, each with its copies. */
function createShare(shared: ByteBudget, maxBytes: number): ByteBudget {
  const own = createByteBudget(maxBytes);
  return {
    take: (bytes) => {
      if (!own.take(bytes)) return false;
      if (shared.take(COPIES * bytes)) return true;
      own.release(bytes);
      return false;
    },
    release: (bytes) => {
      own.release(bytes);
      shared.release(COPIES * bytes);
    },
  };
}
