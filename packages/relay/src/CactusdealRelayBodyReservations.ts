import type { BodyReservation, ByteBudget, Clock } from '@cactusdeal/shared';

/** Shares the memory for callers' bodies among the bodies that are arriving. */
export interface BodyReservations {
  /** Creates the reservation of an arriving body; `refuse` ends the body without an answer from the upstream. */
  reserve(refuse: () => void): BodyReservation;
}

/** A body that is arriving, as the decision sees it. */
export interface BodyState {
  readonly heldBytes: number;
  /** When its last bytes arrived. */
  readonly lastAtMs: number;
  /** Whether it waits for memory, so that its socket is not read. */
  readonly isWaiting: boolean;
}

/** Longest wait of a body for memory, in milliseconds. */
const MAX_WAIT_MS = 1_000;
/** Time without new bytes after which a body that is being read counts as stalled, in milliseconds. */
const STALL_MS = 300;
const CHECK_MS = 50;

/**
 * Finds the body to evict for the waiting one at `waiterIndex`: the one that has been stalled for longest,
 * else the last to arrive of those that wait and arrived after it. Undefined while the others make progress.
 * `bodies` are in the order of their arrival.
 *
 * Load pattern: many large bodies at once, most of which stop short of their end and stay open. If each kept
 * what it has, none would become complete.
 */
export function findEvictedBody(
  bodies: readonly BodyState[],
  waiterIndex: number,
  nowMs: number,
): number | undefined {
  let evictedIndex: number | undefined;
  bodies.forEach(({ heldBytes, isWaiting, lastAtMs }, index) => {
    if (isWaiting || heldBytes === 0 || nowMs - lastAtMs < STALL_MS) return;
    if (evictedIndex === undefined || lastAtMs < (bodies[evictedIndex] as BodyState).lastAtMs)
      evictedIndex = index;
  });
  if (evictedIndex !== undefined) return evictedIndex;
  const last = bodies.findLastIndex(({ isWaiting, heldBytes }) => isWaiting && heldBytes > 0);
  return last > waiterIndex ? last : undefined;
}

interface ActiveReservation extends BodyState {
  heldBytes: number;
  lastAtMs: number;
  isWaiting: boolean;
  waitsSinceMs: number;
  retry: () => boolean;
  readonly refuse: () => void;
}

/**
 * Creates the reservations of a daemon; `recordEviction` is called for each body that is refused for want of
 * memory.
 */
export function createBodyReservations(
  budget: ByteBudget,
  clock: Clock,
  recordEviction: () => void = () => {},
): BodyReservations {
  const reservations = new Set<ActiveReservation>();
  let timer: NodeJS.Timeout | undefined;
  return {
    reserve: (refuse) => {
      const reservation: ActiveReservation = {
        heldBytes: 0,
        lastAtMs: clock(),
        isWaiting: false,
        waitsSinceMs: 0,
        retry: () => true,
        refuse,
      };
      reservations.add(reservation);
      return {
        take: (bytes) => takeBytes(reservation, bytes),
        release: (bytes) => {
          reservation.heldBytes -= bytes;
          budget.release(bytes);
        },
        wait: (retry) => {
          Object.assign(reservation, { retry, isWaiting: true, waitsSinceMs: clock() });
          timer ??= setTimeout(serveWaiters, 0);
        },
        leave: () => {
          reservations.delete(reservation);
        },
      };
    },
  };

  function takeBytes(bodyReservation: ActiveReservation, bytes: number): boolean {
    const reservation = bodyReservation;
    reservation.lastAtMs = clock();
    if (!budget.take(bytes)) return false;
    reservation.heldBytes += bytes;
    return true;
  }

  /** Gives memory to waiting bodies in the order of their arrival, and refuses those that waited too long. */
  function serveWaiters(): void {
    timer = undefined;
    for (const reservation of reservations) {
      if (reservation.isWaiting && !serveWaiter(reservation)) break;
    }
    const latestMs = clock() - MAX_WAIT_MS;
    reservations.forEach((reservation) => {
      if (reservation.isWaiting && reservation.waitsSinceMs <= latestMs) evict(reservation);
    });
    if ([...reservations].some(({ isWaiting }) => isWaiting))
      timer = setTimeout(serveWaiters, CHECK_MS);
  }

  function serveWaiter(waiter: ActiveReservation): boolean {
    const reservation = waiter;
    for (;;) {
      if (reservation.retry()) {
        reservation.isWaiting = false;
        return true;
      }
      const states = [...reservations];
      const evictedIndex = findEvictedBody(states, states.indexOf(reservation), clock());
      if (evictedIndex === undefined) return false;
      evict(states[evictedIndex] as ActiveReservation);
    }
  }

  function evict(reservation: ActiveReservation): void {
    recordEviction();
    reservations.delete(reservation);
    reservation.refuse();
  }
}
