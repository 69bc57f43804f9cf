export {
  createQuarantine,
  type Quarantine,
  type QuarantineOptions,
} from './CactusdealQuarantine.js';
export {
  type CancelledCall,
  type CrashWatch,
  createCrashWatch,
  type InterruptedCall,
} from './CactusdealQuarantineCrashWatch.js';
export { computeFingerprint, type FingerprintInput } from './CactusdealQuarantineFingerprint.js';
export { type CrashNotice, parseCrashNotice } from './CactusdealQuarantineNotice.js';
