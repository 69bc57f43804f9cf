import type { ConfigurationHolder } from '@cactusdeal/configuration';
import type { Mesh } from '@cactusdeal/mesh';
import type { Platform } from '@cactusdeal/platform';
import type { CompleteSettings } from '@cactusdeal/schema';
import type { Log } from '@cactusdeal/shared';
import type { Quarantine } from '@cactusdeal/quarantine';
import type { Claims, GateQueue } from '@cactusdeal/traffic';
import type { Registry } from 'prom-client';
import type { LiveDirectory } from './CactusdealDaemonDirectory.js';
import type { LocalWorkers } from './CactusdealDaemonWorkers.js';

/** The components that exist from the start of the daemon to its end. */
export interface Components {
  readonly settings: CompleteSettings;
  readonly log: Log;
  readonly registry: Registry;
  readonly platform: Platform;
  readonly holder: ConfigurationHolder;
  readonly mesh: Mesh;
  readonly workers: LocalWorkers;
  readonly directory: LiveDirectory;
  readonly queue: GateQueue;
  readonly claims: Claims;
  readonly quarantine: Quarantine;
}
