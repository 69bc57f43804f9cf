export { type ClaimsOptions, createClaims } from './CactusdealTrafficClaims.js';
export {
  createGateQueue,
  type GateQueueOptions,
  type Schedule,
} from './CactusdealTrafficGateQueue.js';
export type {
  AdmissionRequest,
  Claims,
  ClaimTicket,
  GateQueue,
  Quarantine,
  Slot,
} from './CactusdealTrafficPolicyTypes.js';
export {
  computeFingerprint,
  createQuarantine,
  type FingerprintParts,
  type QuarantineOptions,
  type SharedQuarantine,
} from './CactusdealTrafficQuarantine.js';
export {
  CallOutcome,
  type Directory,
  type Gate,
  type GetSnapshot,
  type LocalWorker,
  type Refusal,
  RefusalKind,
} from './CactusdealTrafficTypes.js';
