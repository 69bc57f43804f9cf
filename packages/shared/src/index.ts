export {
  type Address,
  isSocketAddress,
  parseAddress,
  toSocketTarget,
} from './CactusdealSharedAddress.js';
export {
  type BodyFailure,
  BodyFailureKind,
  type BodyReservation,
  collectBody,
  type CollectBodyOptions,
  collectRequestBody,
  createPausableRequest,
} from './CactusdealSharedBody.js';
export { type ByteBudget, createByteBudget } from './CactusdealSharedByteBudget.js';
export {
  type ByteCollector,
  type ByteCollectorOptions,
  createByteCollector,
  toBuffer,
} from './CactusdealSharedByteCollector.js';
export { type Channel, createChannel } from './CactusdealSharedChannel.js';
export {
  type ChunkPacer,
  createChunkPacer,
  type PausableSource,
  type SourcePace,
} from './CactusdealSharedChunkPacer.js';
export { createDeferredTasks, type DeferredTasks } from './CactusdealSharedDeferredTasks.js';
export { type Failure, FailureError, formatError } from './CactusdealSharedFailure.js';
export { InvariantError, invariant } from './CactusdealSharedInvariant.js';
export {
  createLog,
  createSilentLog,
  type Log,
  type LogFields,
  LogLevel,
  startLogging,
} from './CactusdealSharedLog.js';
export { createLogWriter, type LogWriter } from './CactusdealSharedLogWriter.js';
export { type JsonFailure, MAX_JSON_DEPTH, parseJson } from './CactusdealSharedJson.js';
export {
  createPauseWatch,
  type Pause,
  type PauseWatch,
  type PauseWatchOptions,
} from './CactusdealSharedPauseWatch.js';
export { probeAddress } from './CactusdealSharedProbe.js';
export { createSeededRandom, pickRandom, type Random } from './CactusdealSharedRandom.js';
export {
  type ConnectionEndWatch,
  explainInvalidStatus,
  isEndedByClose,
  watchConnectionEnd,
} from './CactusdealSharedResponseRules.js';
export { scheduleTicks, TICK_MS } from './CactusdealSharedTicks.js';
export { waitForStopSignal } from './CactusdealSharedStopSignal.js';
export { type Clock, getMonotonicMs, getWallTimeMs, waitMs } from './CactusdealSharedTime.js';
