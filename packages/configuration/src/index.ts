export {
  type ApplyFailure,
  ApplyFailureKind,
  type ConfigurationHolder,
  type Rejection,
} from './CactusdealConfigurationTypes.js';
