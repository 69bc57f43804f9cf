import { getWallTimeMs } from '@cactusdeal/shared';
import type { AdminBackend } from './CactusdealDaemonAdmin.js';
import { createOperatorApi } from './CactusdealDaemonOperatorApi.js';
import type { Components } from './CactusdealDaemonComponents.js';
import {
  collectDataCentreStatuses,
  type DaemonStatus,
  listDrains,
} from './CactusdealDaemonStatus.js';
import { surveyDataCentre } from './CactusdealDaemonSurvey.js';

/** State of the daemon that no single component knows. */
export interface RunState {
  /** Whether calls are accepted. */
  readonly isReady: () => boolean;
  /** Whether this daemon is a reader of its data centre now. */
  readonly isReading: () => boolean;
}

/** Builds the backend of the admin listener on top of the daemon's components. */
export function buildAdminBackend(components: Components, runState: RunState): AdminBackend {
  const { settings, holder, mesh, platform } = components;
  const remoteDataCentres = Object.keys(settings.mesh.remoteContacts);
  const dataCentres = [...new Set([settings.dataCentre, ...remoteDataCentres])];
  return {
    workers: components.workers,
    isReady: runState.isReady,
    getStatus: () => buildStatus(components, runState),
    collectStatus: () => collectStatus(components, dataCentres),
    getSnapshot: () => holder.getSnapshot(),
    renderMetrics: () => components.registry.metrics(),
    ...createOperatorApi({ platform, holder, mesh, dataCentres, clock: getWallTimeMs }),
  };
}

function buildStatus(components: Components, runState: RunState): DaemonStatus {
  const { settings, holder, mesh } = components;
  return {
    memberId: settings.id,
    dataCentre: settings.dataCentre,
    ready: runState.isReady(),
    version: holder.getSnapshot().version,
    headVersion: holder.getHeadVersion(),
    isReader: runState.isReading(),
    rejections: holder.getRejections(),
    members: mesh.getMembers(),
    summaries: mesh.getSummaries(),
    drains: listDrains(holder, mesh),
    gate: components.queue.getGauges(),
    quarantine: components.quarantine.list(),
  };
}

async function collectStatus(
  components: Components,
  dataCentres: readonly string[],
): Promise<object> {
  const { settings, holder, mesh, platform } = components;
  return {
    version: holder.getSnapshot().version,
    dataCentres: await collectDataCentreStatuses({
      own: await surveyDataCentre({ mesh, holder, clock: getWallTimeMs }),
      others: dataCentres.filter((name) => name !== settings.dataCentre),
      platform,
    }),
    drains: listDrains(holder, mesh),
    quarantine: components.quarantine.list(),
  };
}
