export {
  type LoadOptions,
  mergeRecorded,
  planArrivals,
  recordLoad,
  runLoad,
} from './CactusdealBenchLoad.js';
export {
  createHttpSender,
  type HttpSender,
  type HttpSenderOptions,
} from './CactusdealBenchLoadHttp.js';
export { type LoadPlanFailure, parseLoadPlan } from './CactusdealBenchLoadPlan.js';
export type { RecordedClass } from './CactusdealBenchLoadRecorder.js';
export type {
  Arrival,
  CallOutcome,
  ClassResult,
  LatencySummary,
  LoadClass,
  LoadResult,
} from './CactusdealBenchLoadTypes.js';
