export {
  acceptIntent,
  type AdminResponse,
  isClusterReady,
  confirmPlan,
  type DaemonStatus,
  fetchSnapshot,
  fetchStatus,
  isReady,
  sendAdmin,
  sendIntent,
} from './CactusdealTestingAdmin.js';
export {
  type CallResult,
  type CallSpec,
  explainWrongResponse,
  sendCall,
} from './CactusdealTestingCall.js';
export { startCluster } from './CactusdealTestingCluster.js';
export type {
  Cluster,
  ClusterLink,
  ClusterSpec,
  DataCentreSpec,
  Host,
  RunRecord,
  SettingsOverrides,
  WorkerSpec,
} from './CactusdealTestingClusterTypes.js';
export {
  type EndlessData,
  type EndlessServer,
  LONG_TEXT,
  startEndlessServer,
} from './CactusdealTestingEndlessServer.js';
export {
  type ByteCounts,
  FaultDirection,
  type FaultProxy,
  startFaultProxy,
} from './CactusdealTestingFaultProxy.js';
export { createIdempotencyKey } from './CactusdealTestingKey.js';
export { createLedger, type Ledger } from './CactusdealTestingLedger.js';
export { type LoadClass, type LoadResult, runLoad } from './CactusdealTestingLoad.js';
export { type PlatformProcess, startPlatformProcess } from './CactusdealTestingPlatform.js';
export { findFreePorts } from './CactusdealTestingPorts.js';
export {
  type ManagedProcess,
  parseFields,
  type ProcessExit,
  type ProcessOptions,
  startProcess,
} from './CactusdealTestingProcess.js';
export { resolveScript } from './CactusdealTestingScripts.js';
export { startUpstream, type Upstream, type UpstreamOptions } from './CactusdealTestingUpstream.js';
export {
  type UpstreamResponseBody,
  type UpstreamBehaviour,
  UpstreamHeader,
  type UpstreamRecord,
  type UpstreamReport,
} from './CactusdealTestingUpstreamTypes.js';
export { startVersionWatch, type VersionWatch } from './CactusdealTestingVersionWatch.js';
export { waitUntil, type WaitOptions } from './CactusdealTestingWait.js';
