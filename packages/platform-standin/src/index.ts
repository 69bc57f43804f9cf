export type { CallCounts } from './CactusdealPlatformStandinCounts.js';
export { type Fault, FaultMode } from './CactusdealPlatformStandinFault.js';
export {
  type PlatformStandin,
  type StandinOptions,
  startPlatformStandin,
} from './CactusdealPlatformStandinServer.js';
