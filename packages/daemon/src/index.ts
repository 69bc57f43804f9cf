export { loadSettings, parseSettings, type SettingsFailure } from './CactusdealDaemonSettings.js';
export { type Daemon, startDaemon } from './CactusdealDaemonWiring.js';
