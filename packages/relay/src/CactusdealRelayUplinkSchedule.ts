/** A large answer that is written to its link in pieces. */
export interface UplinkTransfer {
  /** Time by which the caller wants the answer. */
  readonly targetAtMs: number;
  countRemainingBytes(): number;
  /** Whether the link has passed on what was written to it. */
  isWritable(): boolean;
  /** Writes the next piece and returns its size, in bytes. */
  writePiece(): number;
}

/** Order in which the large answers of all links of a daemon share the uplink of its host. */
export interface UplinkSchedule {
  add(transfer: UplinkTransfer): void;
  /** Removes a transfer that is no longer wanted or whose link has ended. */
  remove(transfer: UplinkTransfer): void;
  /**
   * Writes the pieces that are due. Returns the time after which it must run again, in milliseconds;
   * undefined if only a new transfer or a writable link can change anything.
   */
  run(nowMs: number): number | undefined;
  countWaitingBytes(): number;
}

/** Transfers in progress; the second one is written while the link of the first is not writable. */
const MAX_TURNS = 2;
/** Time without progress after which a transfer gives up its turn. */
const STALL_MS = 100;
/** Lateness of a timer that the next pieces make up for; short, so that idle time makes no burst. */
const MAX_CATCH_UP_MS = 5;

/**
 * Creates the schedule of an uplink that takes `bytesPerMs` of large answers.
 *
 * Load pattern: more large answers than the uplink carries, beside small messages. Answers that share
 * the uplink all end late together, and what the operating system buffers delays every small message.
 * So pieces are written no faster than the uplink takes them, and answers complete one after the
 * other, by earliest target. Those that can't meet their target any more go after the others.
 */
export function createUplinkSchedule(bytesPerMs: number): UplinkSchedule {
  const transfers = new Set<UplinkTransfer>();
  /** Time of the last progress of each transfer that has a turn. */
  const turns = new Map<UplinkTransfer, number>();
  let nextPieceAtMs = -Infinity;
  return {
    add: (transfer) => {
      transfers.add(transfer);
    },
    remove,
    run,
    countWaitingBytes: () =>
      [...transfers].reduce((sum, transfer) => sum + transfer.countRemainingBytes(), 0),
  };

  function remove(transfer: UplinkTransfer): void {
    transfers.delete(transfer);
    turns.delete(transfer);
  }

  function run(nowMs: number): number | undefined {
    while (transfers.size > 0) {
      if (nowMs < nextPieceAtMs) return nextPieceAtMs - nowMs;
      releaseTurns(nowMs);
      const transfer = findNext(nowMs);
      if (transfer === undefined) return computeStallWaitMs(nowMs);
      const bytes = transfer.writePiece();
      nextPieceAtMs = Math.max(nextPieceAtMs, nowMs - MAX_CATCH_UP_MS) + bytes / bytesPerMs;
      if (transfer.countRemainingBytes() > 0) turns.set(transfer, nowMs);
      else remove(transfer);
    }
    return undefined;
  }

  /** Ends the turns of stalled transfers, and of late ones while another can meet its target. */
  function releaseTurns(nowMs: number): void {
    const isOtherInTime = [...transfers].some(
      (transfer) => !turns.has(transfer) && transfer.isWritable() && !isLate(transfer, nowMs),
    );
    turns.forEach((progressAtMs, transfer) => {
      const isStalled = !transfer.isWritable() && nowMs - progressAtMs >= STALL_MS;
      if (isStalled || (isOtherInTime && isLate(transfer, nowMs))) turns.delete(transfer);
    });
  }

  function findNext(nowMs: number): UplinkTransfer | undefined {
    const inTurn = [...turns.keys()].find((transfer) => transfer.isWritable());
    if (inTurn !== undefined || turns.size >= MAX_TURNS) return inTurn;
    return [...transfers]
      .filter((transfer) => transfer.isWritable())
      .sort(
        (a, b) =>
          Number(isLate(a, nowMs)) - Number(isLate(b, nowMs)) || a.targetAtMs - b.targetAtMs,
      )[0];
  }

  function isLate(transfer: UplinkTransfer, nowMs: number): boolean {
    return nowMs + transfer.countRemainingBytes() / bytesPerMs > transfer.targetAtMs;
  }

  function computeStallWaitMs(nowMs: number): number | undefined {
    if (turns.size === 0) return undefined;
    return Math.max(1, Math.min(...turns.values()) + STALL_MS - nowMs);
  }
}
