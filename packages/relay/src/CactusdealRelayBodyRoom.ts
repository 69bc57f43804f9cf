import type { BodySeat, ByteBudget, Clock } from '@cactusdeal/shared';

/** Shares the memory for callers' bodies among the bodies that are arriving. */
export interface BodyRoom {
  /** Enters a body; `refuse` ends it without an answer from the upstream. */
  enter(refuse: () => void): BodySeat;
}

/** A body that is arriving, as the decision sees it. */
export interface BodyState {
  readonly heldBytes: number;
  /** When its last bytes arrived. */
  readonly lastAtMs: number;
  /** Whether it waits for room, so that its socket is not read. */
  readonly isWaiting: boolean;
}

/** Longest wait of a body for room, in milliseconds. */
const MAX_WAIT_MS = 1_000;
/** A body that is read and of which nothing arrived for this time stands still, in milliseconds. */
const STALL_MS = 300;
const CHECK_MS = 50;

/**
 * Finds the body that gives up its room for the waiting one at `waiterIndex`: the one that has stood still for
 * longest, else the last to arrive of those that wait and arrived after it. Undefined while the others make
 * progress. `bodies` are in the order of their arrival.
 *
 * Load pattern: many large bodies at once, most of which stop short of their end and stay open. If each kept
 * what it has, none would become complete.
 */
export function findVictim(
  bodies: readonly BodyState[],
  waiterIndex: number,
  nowMs: number,
): number | undefined {
  let victim: number | undefined;
  bodies.forEach(({ heldBytes, isWaiting, lastAtMs }, index) => {
    if (isWaiting || heldBytes === 0 || nowMs - lastAtMs < STALL_MS) return;
    if (victim === undefined || lastAtMs < (bodies[victim] as BodyState).lastAtMs) victim = index;
  });
  if (victim !== undefined) return victim;
  const last = bodies.findLastIndex(({ isWaiting, heldBytes }) => isWaiting && heldBytes > 0);
  return last > waiterIndex ? last : undefined;
}

interface Seat extends BodyState {
  heldBytes: number;
  lastAtMs: number;
  isWaiting: boolean;
  waitsSinceMs: number;
  retry: () => boolean;
  readonly refuse: () => void;
}

/** Creates the room; `recordEviction` is called for each body that is refused for want of memory. */
export function createBodyRoom(
  budget: ByteBudget,
  clock: Clock,
  recordEviction: () => void = () => {},
): BodyRoom {
  const seats = new Set<Seat>();
  let timer: NodeJS.Timeout | undefined;
  return {
    enter: (refuse) => {
      const seat: Seat = {
        heldBytes: 0,
        lastAtMs: clock(),
        isWaiting: false,
        waitsSinceMs: 0,
        retry: () => true,
        refuse,
      };
      seats.add(seat);
      return {
        take: (bytes) => takeBytes(seat, bytes),
        release: (bytes) => {
          seat.heldBytes -= bytes;
          budget.release(bytes);
        },
        wait: (retry) => {
          Object.assign(seat, { retry, isWaiting: true, waitsSinceMs: clock() });
          timer ??= setTimeout(serveWaiters, 0);
        },
        leave: () => {
          seats.delete(seat);
        },
      };
    },
  };

  function takeBytes(bodySeat: Seat, bytes: number): boolean {
    const seat = bodySeat;
    seat.lastAtMs = clock();
    if (!budget.take(bytes)) return false;
    seat.heldBytes += bytes;
    return true;
  }

  /** Gives room to waiting bodies in the order of their arrival, and refuses those that waited too long. */
  function serveWaiters(): void {
    timer = undefined;
    for (const seat of seats) {
      if (seat.isWaiting && !serveWaiter(seat)) break;
    }
    const latestMs = clock() - MAX_WAIT_MS;
    seats.forEach((seat) => {
      if (seat.isWaiting && seat.waitsSinceMs <= latestMs) evict(seat);
    });
    if ([...seats].some(({ isWaiting }) => isWaiting)) timer = setTimeout(serveWaiters, CHECK_MS);
  }

  function serveWaiter(waiter: Seat): boolean {
    const seat = waiter;
    for (;;) {
      if (seat.retry()) {
        seat.isWaiting = false;
        return true;
      }
      const states = [...seats];
      const victim = findVictim(states, states.indexOf(seat), clock());
      if (victim === undefined) return false;
      evict(states[victim] as Seat);
    }
  }

  function evict(seat: Seat): void {
    recordEviction();
    seats.delete(seat);
    seat.refuse();
  }
}
