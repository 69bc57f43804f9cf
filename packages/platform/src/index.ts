export {
  type Platform,
  type PlatformFailure,
  PlatformFailureKind,
  type PlatformLease,
  type PlatformRecord,
  type WriteOutcome,
} from './CactusdealPlatformPort.js';
