import type { PlatformFailure } from './CactusdealPlatformPort.js';
import { PlatformFailureKind } from './CactusdealPlatformPort.js';

/** Largest value, in bytes. */
export const MAX_VALUE_BYTES = 1024 * 1024;
/** Longest key, in bytes. */
export const MAX_KEY_BYTES = 256;

/** Printable ASCII characters other than space. */
const KEY_PATTERN = /^[!-~]+$/;

/** Checks a key, and a value if given; answers the failure, or undefined when both are allowed. */
export function checkLimits(key: string, value?: Uint8Array): PlatformFailure | undefined {
  if (!KEY_PATTERN.test(key) || key.length > MAX_KEY_BYTES) {
    return buildNotDoneFailure(
      `key ${JSON.stringify(key.slice(0, MAX_KEY_BYTES))} of length ${key.length}: allowed are 1 to ${MAX_KEY_BYTES} printable ASCII characters other than space`,
    );
  }
  if (value !== undefined && value.byteLength > MAX_VALUE_BYTES) {
    return buildNotDoneFailure(
      `value of ${value.byteLength} bytes for key ${key}: allowed are up to ${MAX_VALUE_BYTES} bytes`,
    );
  }
  return undefined;
}

/** Builds the failure of a call that is known to have had no effect. */
export function buildNotDoneFailure(message: string): PlatformFailure {
  return { kind: PlatformFailureKind.NotDone, message };
}

/** Builds the failure of a call that may have taken effect, since its answer was lost. */
export function buildUnknownFailure(message: string): PlatformFailure {
  return { kind: PlatformFailureKind.Unknown, message };
}
