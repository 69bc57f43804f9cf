export { formatCanonical } from './CactusdealConfigurationCanonical.js';
export { diffSnapshots } from './CactusdealConfigurationDiff.js';
export { hashSnapshot } from './CactusdealConfigurationHash.js';
export {
  type ConfigurationHolderOptions,
  createConfigurationHolder,
} from './CactusdealConfigurationHolder.js';
export { applyOperations, createEmptySnapshot, getOwn } from './CactusdealConfigurationSnapshot.js';
export {
  type ApplyFailure,
  ApplyFailureKind,
  type ConfigurationHolder,
  type Rejection,
} from './CactusdealConfigurationTypes.js';
export {
  findAffectedServices,
  type RuleViolation,
  validateSnapshot,
  ViolationKind,
} from './CactusdealConfigurationValidation.js';
