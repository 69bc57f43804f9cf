export {
  CallOutcome,
  type Directory,
  type Gate,
  type GetSnapshot,
  type LocalWorker,
  type Refusal,
  RefusalKind,
} from './CactusdealTrafficTypes.js';
