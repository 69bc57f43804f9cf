export { buildIdempotencyKey, type ClaimGrouping } from './CactusdealTrafficClaimsKey.js';
export { type ClaimsOptions, createClaims } from './CactusdealTrafficClaims.js';
export {
  createGateQueue,
  type GateQueueOptions,
  type Schedule,
} from './CactusdealTrafficGateQueue.js';
export {
  CallOutcome,
  type Directory,
  type Gate,
  type GetSnapshot,
  type LocalWorker,
  type Refusal,
  RefusalKind,
} from './CactusdealTrafficTypes.js';
export {
  type Caller,
  type CallerResponse,
  type CallerOptions,
  type CallerRequest,
  createCaller,
} from './CactusdealTrafficCaller.js';
export { createFifoQueue, type FifoQueueOptions } from './CactusdealTrafficFifoQueue.js';
export { CallHeader } from './CactusdealTrafficHeaders.js';
export {
  type CallListener,
  type CallListenerOptions,
  startCallListener,
} from './CactusdealTrafficListener.js';
export { createTrafficMetrics, type TrafficMetrics } from './CactusdealTrafficMetrics.js';
export type {
  AdmissionRequest,
  Claims,
  ClaimTicket,
  GateQueue,
  Slot,
} from './CactusdealTrafficPolicyTypes.js';
