/** A large body that another daemon has offered and sends as far as it is granted. */
export interface OfferedBody {
  readonly bytes: number;
  /** Time by which the answer to its call is wanted. */
  readonly targetAtMs: number;
  /** Expected time from the arrival of the whole body to the answer, in milliseconds. */
  readonly serviceMs: number;
  /** Lets the other daemon send this many bytes more. */
  readonly grant: (bytes: number) => void;
}

/** Order in which the large bodies that arrive over all links of a daemon share the downlink of its host. */
export interface DownlinkSchedule {
  /**
   * Time after which the downlink is expected to have capacity for the body, in milliseconds; 0 if it has it now.
   */
  computeWaitMs(body: OfferedBody, nowMs: number): number;
  /** Adds a body; it is granted when it is due. */
  add(body: OfferedBody, nowMs: number): void;
  /** Handles bytes of a body that have arrived; it is removed after the last one. */
  receive(body: OfferedBody, bytes: number, nowMs: number): void;
  /** Removes a body that is no longer wanted or whose link has ended. */
  remove(body: OfferedBody, nowMs: number): void;
  /** Grants what is due, also in place of what stalls. */
  run(nowMs: number): void;
  isIdle(): boolean;
}

interface BodyProgress {
  grantedBytes: number;
  receivedBytes: number;
  lastProgressAtMs: number;
}

/** Time that the granted bytes which have not arrived take on the downlink, in milliseconds. */
const WINDOW_MS = 25;
/** Fewest bytes granted at once, so that a narrow downlink stays in use while a grant is under way. */
const MIN_WINDOW_BYTES = 32 * 1024;
/** Time without an arrival after which granted bytes no longer count as under way. */
const STALL_MS = 150;
const MIN_RETRY_AFTER_MS = 30;

/**
 * Creates the schedule of a downlink that takes `bytesPerMs` of large bodies.
 *
 * Load pattern: many daemons send large bodies to one host at once, beside small calls. No sender sees the queue that
 * they build up in front of the host, in which every small call waits behind all of them. So the receiver grants
 * what may be sent: little enough that the queue stays short, by earliest target, and bodies that cannot be in time
 * after those that can. A body that would arrive too late is refused before any of it is sent.
 */
export function createDownlinkSchedule(bytesPerMs: number): DownlinkSchedule {
  const windowBytes = Math.max(MIN_WINDOW_BYTES, bytesPerMs * WINDOW_MS);
  const bodies = new Map<OfferedBody, BodyProgress>();
  return {
    computeWaitMs,
    add: (body, nowMs) => {
      bodies.set(body, { grantedBytes: 0, receivedBytes: 0, lastProgressAtMs: nowMs });
      run(nowMs);
    },
    receive: (body, bytes, nowMs) => {
      const progress = bodies.get(body);
      if (progress === undefined) return;
      progress.receivedBytes += bytes;
      progress.lastProgressAtMs = nowMs;
      if (progress.receivedBytes >= body.bytes) bodies.delete(body);
      run(nowMs);
    },
    remove: (body, nowMs) => {
      if (bodies.delete(body)) run(nowMs);
    },
    run,
    isIdle: () => bodies.size === 0,
  };

  function computeWaitMs(body: OfferedBody, nowMs: number): number {
    const aheadBytes = [...bodies]
      .filter(([other]) => other.targetAtMs <= body.targetAtMs)
      .reduce((sum, [other, { receivedBytes }]) => sum + other.bytes - receivedBytes, 0);
    if (aheadBytes === 0) return 0;
    const endMs = (aheadBytes + body.bytes) / bytesPerMs + body.serviceMs;
    const excessMs = endMs - (body.targetAtMs - nowMs);
    return excessMs > 0 ? Math.max(MIN_RETRY_AFTER_MS, excessMs) : 0;
  }

  function run(nowMs: number): void {
    let freeBytes = windowBytes - countBytesUnderWay(nowMs);
    while (freeBytes > 0) {
      const body = findNext(nowMs);
      if (body === undefined) return;
      const bytes = grant(body, freeBytes, nowMs);
      freeBytes -= bytes;
    }
  }

  function countBytesUnderWay(nowMs: number): number {
    return [...bodies.values()]
      .filter(({ lastProgressAtMs }) => nowMs - lastProgressAtMs < STALL_MS)
      .reduce((sum, { grantedBytes, receivedBytes }) => sum + grantedBytes - receivedBytes, 0);
  }

  function grant(body: OfferedBody, maxBytes: number, nowMs: number): number {
    const progress = bodies.get(body) as BodyProgress;
    const bytes = Math.min(maxBytes, body.bytes - progress.grantedBytes);
    if (progress.grantedBytes === progress.receivedBytes) progress.lastProgressAtMs = nowMs;
    progress.grantedBytes += bytes;
    body.grant(bytes);
    return bytes;
  }

  /** The first body that is not granted whole, unless what it was granted stalls. */
  function findNext(nowMs: number): OfferedBody | undefined {
    return [...bodies]
      .filter(
        ([body, progress]) => progress.grantedBytes < body.bytes && !isStalled(progress, nowMs),
      )
      .map(([body, { receivedBytes }]) => ({
        body,
        isLate: nowMs + (body.bytes - receivedBytes) / bytesPerMs > body.targetAtMs,
      }))
      .sort(
        (a, b) => Number(a.isLate) - Number(b.isLate) || a.body.targetAtMs - b.body.targetAtMs,
      )[0]?.body;
  }
}

function isStalled(
  { grantedBytes, receivedBytes, lastProgressAtMs }: BodyProgress,
  nowMs: number,
): boolean {
  return grantedBytes > receivedBytes && nowMs - lastProgressAtMs >= STALL_MS;
}
