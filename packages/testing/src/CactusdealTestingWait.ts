import { FailureError, formatCaught, waitMs } from '@cactusdeal/shared';

const POLL_INTERVAL_MS = 20;
const DEFAULT_TIMEOUT_MS = 15_000;

/** What a wait is for and how long it may take at most, in milliseconds. */
export interface WaitOptions {
  readonly what: string;
  readonly timeoutMs?: number;
  /** Adds what was seen last to the failure's message. */
  readonly explain?: () => string;
}

/**
 * Polls until the condition answers something other than false, null or undefined, and returns it.
 * A condition that throws counts as not met.
 *
 * @throws FailureError of kind `WaitTimeout` when the time passes.
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
      lastError = ` (${formatCaught(caught)})`;
    }
    await waitMs(POLL_INTERVAL_MS);
  }
  const explanation = options.explain === undefined ? '' : `; ${options.explain()}`;
  throw new FailureError({
    kind: 'WaitTimeout',
    message: `${options.what}: not within ${timeoutMs} ms${lastError}${explanation}`,
  });
}
