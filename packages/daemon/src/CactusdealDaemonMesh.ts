import type { ConfigurationHolder } from '@cactusdeal/configuration';
import { createMesh, type Mesh } from '@cactusdeal/mesh';
import { readReaders, readRoster } from '@cactusdeal/operator';
import type { Platform } from '@cactusdeal/platform';
import { createQuarantine, parseCrashNotice, type Quarantine } from '@cactusdeal/quarantine';
import type { CompleteSettings } from '@cactusdeal/schema';
import { type Clock, type Log } from '@cactusdeal/shared';
import { createMeshState } from './CactusdealDaemonMeshState.js';

/** Contacts that are enough to join through; no more are read from the roster. */
const MAX_ROSTER_CONTACTS = 2;
const QUARANTINE_TOPIC = 'quarantine';

/**
 * Starts this daemon's mesh. Contacts are read from the roster at the platform only when the settings and
 * the remembered members lead to no peer.
 */
export function startMesh(options: {
  readonly settings: CompleteSettings;
  readonly holder: ConfigurationHolder;
  readonly platform: Platform;
  readonly log: Log;
}): Promise<Mesh> {
  const { settings, holder, platform, log } = options;
  const { cluster, dataCentre, id, listen, advertise } = settings;
  return createMesh({
    cluster,
    dataCentre,
    id,
    meshAddress: listen.mesh,
    callsAddress: listen.calls,
    adminAddress: listen.admin,
    remoteMeshAddress: advertise.mesh,
    remoteCallsAddress: advertise.calls,
    ...settings.mesh,
    readersPerDataCentre: settings.readers.perDataCentre,
    state: createMeshState({ holder, getMemberId: () => id }),
    log,
    findContacts: async () => {
      const contacts = await readRoster(platform, { dataCentre, limit: MAX_ROSTER_CONTACTS });
      return contacts.map(({ meshAddress }) => meshAddress);
    },
    findRemoteReaders: async (remoteDataCentre) => {
      const readers = await readReaders(platform, remoteDataCentre, settings.readers.perDataCentre);
      return readers.map(({ meshAddress }) => meshAddress);
    },
  });
}

/** Creates a quarantine that shares its crash counts with the other daemons of the data centre. */
export function createMeshQuarantine(
  mesh: Pick<Mesh, 'publishNotice' | 'observeNotices'>,
  source: string,
  clock: Clock,
): Quarantine {
  const quarantine = createQuarantine({
    clock,
    source,
    publish: (notice) => {
      const { fingerprint, crashes } = notice;
      mesh.publishNotice(QUARANTINE_TOPIC, `${source}/${fingerprint}/${crashes}`, notice);
    },
  });
  mesh.observeNotices((topic, value) => {
    if (topic !== QUARANTINE_TOPIC) return;
    const notice = parseCrashNotice(value);
    if (notice !== undefined) quarantine.mergeNotice(notice);
  });
  return quarantine;
}
