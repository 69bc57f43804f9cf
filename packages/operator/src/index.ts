export { type Backoff, createBackoff } from './CactusdealOperatorBackoff.js';
export {
  type CheckpointLimits,
  type CheckpointReport,
  type CheckpointSource,
  type CheckpointWriter,
  createCheckpointWriter,
  DEFAULT_CHECKPOINT_LIMITS,
} from './CactusdealOperatorCheckpoint.js';
export { type CheckpointerOptions, runCheckpointer } from './CactusdealOperatorCheckpointer.js';
export {
  confirmPlan,
  type ConfirmOptions,
  loadPlan,
  storePlan,
} from './CactusdealOperatorConfirm.js';
export { type HistoryRange, readHistory } from './CactusdealOperatorHistory.js';
export {
  getLogKey,
  getPlanKey,
  getReaderKey,
  getRosterKey,
  MANIFEST_KEY,
  TRIM_MARK_KEY,
} from './CactusdealOperatorKeys.js';
export {
  type LogReaderOptions,
  type LogReaderTarget,
  runLogReader,
} from './CactusdealOperatorLogReader.js';
export { planIntent } from './CactusdealOperatorPlan.js';
export {
  createReaderLease,
  createRosterLease,
  type MemberSlotOptions,
  READER_SLOTS,
  readReaders,
  readRoster,
  ROSTER_SLOTS,
  type RosterQuery,
} from './CactusdealOperatorMemberSlots.js';
export type { SlotLease } from './CactusdealOperatorSlot.js';
export {
  type LatestConfiguration,
  loadLatestConfiguration,
  loadVersion,
} from './CactusdealOperatorLoad.js';
export { planAndStore, type StoredPlanFailure } from './CactusdealOperatorStoredPlan.js';
export {
  type Acceptance,
  type ConfirmFailure,
  ConfirmFailureKind,
  type KnownWorker,
  type LoadFailure,
  LoadFailureKind,
  type PlanContext,
  type PlanFailure,
  PlanFailureKind,
} from './CactusdealOperatorTypes.js';
