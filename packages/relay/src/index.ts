export { type JsonDocument } from './CactusdealRelayDocument.js';
export { findField } from './CactusdealRelayHeaders.js';
export { parseMember } from './CactusdealRelayMemberRecord.js';
export {
  type ConfigurationReading,
  type ConfigurationSource,
  type MemberListing,
  type MemberRegistry,
  type OrderReading,
  type PlatformFault,
  PlatformFaultKind,
  type RolloutStatus,
  type RolloutStatusReading,
  type RolloutStore,
} from './CactusdealRelayPorts.js';
export { type RolloutOrder, RolloutPhase, type StorePoint } from './CactusdealRelayRolloutTypes.js';
export {
  type CallerLimits,
  type HeaderNames,
  type Heartbeat,
  type Member,
  type OrganisationRule,
  type RelayConfiguration,
  type RouteDestination,
  type RouteRule,
  type Upstream,
} from './CactusdealRelayTypes.js';
export { NO_ERA, parseEra } from './CactusdealRelayStoreEra.js';
export { createVersionHistory } from './CactusdealRelayVersionHistory.js';
export { type Relay, type RelayOptions, startRelay } from './CactusdealRelayWiring.js';
