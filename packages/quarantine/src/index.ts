export {
  createQuarantine,
  type Quarantine,
  type QuarantineOptions,
} from './CactusdealQuarantine.js';
export { createExitWatch, type ExitWatch } from './CactusdealQuarantineExitWatch.js';
export { computeFingerprint, type FingerprintInput } from './CactusdealQuarantineFingerprint.js';
export { type CrashNotice, parseCrashNotice } from './CactusdealQuarantineNotice.js';
