import { FailureError, formatError, waitMs } from '@cactusdeal/shared';

const POLL_INTERVAL_MS = 20;
const DEFAULT_TIMEOUT_MS = 15_000;

/** Error message and time limit of a wait. */
export interface WaitOptions {
  /** What is waited for, as the error names it. */
  readonly what: string;
  /** 15 s by default. */
  readonly timeoutMs?: number;
  /** Returns the last observed state, which is added to the error. */
  readonly explain?: () => string;
}

/**
 * Polls until the condition returns something other than false, null or undefined, and returns that.
 * A condition that throws counts as not met.
 *
 * @throws FailureError of kind `WaitTimeout` when the time limit passes first.
 */
export async function waitUntil<T>(
  condition: () => T | Promise<T>,
  options: WaitOptions,
): Promise<NonNullable<T>> {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const endMs = performance.now() + timeoutMs;
  let lastError = '';
  while (performance.now() < endMs) {
    try {
      const value = await condition();
      if (value !== false && value !== null && value !== undefined) return value;
      lastError = '';
    } catch (caught) {
      lastError = ` (${formatError(caught)})`;
    }
    await waitMs(POLL_INTERVAL_MS);
  }
  const explanation = options.explain === undefined ? '' : `; ${options.explain()}`;
  throw new FailureError({
    kind: 'WaitTimeout',
    message: `timed out after ${timeoutMs} ms waiting for: ${options.what}${lastError}${explanation}`,
  });
}
