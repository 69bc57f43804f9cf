import type { PlatformFailure } from './CactusdealPlatformPort.js';
import { PlatformFailureKind } from './CactusdealPlatformPort.js';

/** Largest value, in bytes. */
export const MAX_VALUE_BYTES = 1024 * 1024;
/** Longest key, in bytes. */
export const MAX_KEY_BYTES = 256;

const KEY_PATTERN = /^[!-~]+$/;

/** Checks a key, and a value where there is one; answers why the platform would refuse them. */
export function checkLimits(key: string, value?: Uint8Array): PlatformFailure | undefined {
  if (!KEY_PATTERN.test(key) || key.length > MAX_KEY_BYTES) {
    return buildNotDone(`key of ${key.length} bytes: allowed are 1 to ${MAX_KEY_BYTES}, printable`);
  }
  if (value !== undefined && value.byteLength > MAX_VALUE_BYTES) {
    return buildNotDone(`value of ${value.byteLength} bytes: allowed are ${MAX_VALUE_BYTES}`);
  }
  return undefined;
}

/** Builds the failure of a call that certainly took no effect. */
export function buildNotDone(message: string): PlatformFailure {
  return { kind: PlatformFailureKind.NotDone, message };
}

/** Builds the failure of a call whose answer was lost. */
export function buildUnknown(message: string): PlatformFailure {
  return { kind: PlatformFailureKind.Unknown, message };
}
