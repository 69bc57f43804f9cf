export { type CallBudget, createCallBudget } from './CactusdealPlatformBudget.js';
export {
  createHttpPlatform,
  type HttpPlatformOptions,
  REVISION_HEADER,
} from './CactusdealPlatformHttp.js';
export {
  buildNotDoneFailure,
  buildUnknownFailure,
  MAX_VALUE_BYTES,
} from './CactusdealPlatformLimits.js';
export { createMemoryPlatform, type MemoryPlatformOptions } from './CactusdealPlatformMemory.js';
export {
  type Platform,
  type PlatformFailure,
  PlatformFailureKind,
  type PlatformLease,
  type PlatformRecord,
  type WriteOutcome,
} from './CactusdealPlatformPort.js';
