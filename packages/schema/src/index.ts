export type {
  ApplyOperationsIntent,
  Drain,
  DrainWorkerIntent,
  Effect,
  Generation,
  Intent,
  LogEntry,
  Manifest,
  Operation,
  Plan,
  PlanEffect,
  Rank,
  RevertIntent,
  Route,
  Service,
  Shard,
  ShardReference,
  SlotHolder,
  SetWeightsIntent,
  Snapshot,
  UndrainWorkerIntent,
} from './CactusdealSchemaConfiguration.generated.js';
export type {
  MemberRecord,
  ServiceSummary,
  SummaryGate,
  Worker,
  WorkerAnnouncement,
  WorkerState,
} from './CactusdealSchemaMessages.generated.js';
export type { CompleteSettings } from './CactusdealSchemaSettings.js';
export type { Address, DaemonSettings } from './CactusdealSchemaSettings.generated.js';
export { settingsSchema } from './CactusdealSchemaSettings.generated.js';
export {
  createValidator,
  formatFault,
  type SchemaFailure,
  type SchemaFault,
  type Validator,
} from './CactusdealSchemaValidator.js';
