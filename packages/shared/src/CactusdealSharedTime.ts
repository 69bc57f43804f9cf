/** Returns a time in milliseconds. Passed as an argument so that tests can control the time. */
export type Clock = () => number;

/** The wall clock, in milliseconds since the Unix epoch. */
export const getWallTimeMs: Clock = () => Date.now();

/** A clock that never goes back, in milliseconds from an arbitrary origin. */
export const getMonotonicMs: Clock = () => performance.now();

/** Waits for the given time or until the signal aborts, whichever is first; never rejects. */
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
