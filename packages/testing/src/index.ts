export {
  type ByteCounts,
  FaultDirection,
  type FaultProxy,
  startFaultProxy,
} from './CactusdealTestingFaultProxy.js';
export { findFreePorts } from './CactusdealTestingPorts.js';
export {
  type ManagedProcess,
  parseFields,
  type ProcessExit,
  type ProcessOptions,
  startProcess,
} from './CactusdealTestingProcess.js';
export { startUpstream, type Upstream, type UpstreamOptions } from './CactusdealTestingUpstream.js';
export {
  type UpstreamAnswer,
  type UpstreamBehaviour,
  UpstreamHeader,
  type UpstreamRecord,
  type UpstreamReport,
} from './CactusdealTestingUpstreamTypes.js';
export { waitUntil, type WaitOptions } from './CactusdealTestingWait.js';
