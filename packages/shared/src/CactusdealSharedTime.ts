/** Milliseconds since the Unix epoch. Passed as an argument so that tests own the time. */
export type Clock = () => number;

/** The wall clock. */
export const getWallTimeMs: Clock = () => Date.now();

/** A clock that never goes back, in milliseconds from an arbitrary origin. */
export const getMonotonicMs: Clock = () => performance.now();

/** Waits for the given time, or until the signal aborts; never rejects. */
export function waitMs(durationMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const timer = setTimeout(finish, durationMs);
    signal?.addEventListener('abort', finish, { once: true });

    function finish(): void {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    }
  });
}
