export {
  type ClientFailure,
  ExitCode,
  type Output,
  runClient,
} from './CactusdealClientCommands.js';
export {
  createDaemonClient,
  type DaemonClient,
  type DaemonFailure,
} from './CactusdealClientDaemon.js';
