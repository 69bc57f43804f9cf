import { getWallTimeMs } from '@cactusdeal/shared';
import type { AdminParts } from './CactusdealDaemonAdmin.js';
import { createOperations } from './CactusdealDaemonOperations.js';
import type { Parts } from './CactusdealDaemonParts.js';
import { collectDataCentres, type DaemonStatus, listDrains } from './CactusdealDaemonStatus.js';
import { surveyDataCentre } from './CactusdealDaemonSurvey.js';

/** What the admin listener asks of the daemon as a whole. */
export interface Progress {
  /** Whether calls are answered. */
  readonly isReady: () => boolean;
  readonly isReading: () => boolean;
}

/** Builds what the admin listener needs from the daemon's parts. */
export function buildAdminParts(parts: Parts, progress: Progress): AdminParts {
  const { settings, holder, mesh, platform } = parts;
  const remote = Object.keys(settings.mesh.remoteContacts);
  const dataCentres = [...new Set([settings.dataCentre, ...remote])];
  return {
    workers: parts.workers,
    isReady: progress.isReady,
    getStatus: () => buildStatus(parts, progress),
    collectStatus: () => collectStatus(parts, dataCentres),
    getSnapshot: () => holder.getSnapshot(),
    renderMetrics: () => parts.registry.metrics(),
    ...createOperations({ platform, holder, mesh, dataCentres, clock: getWallTimeMs }),
  };
}

function buildStatus(parts: Parts, progress: Progress): DaemonStatus {
  const { settings, holder, mesh } = parts;
  return {
    memberId: settings.id,
    dataCentre: settings.dataCentre,
    ready: progress.isReady(),
    version: holder.getSnapshot().version,
    headVersion: holder.getHeadVersion(),
    isReader: progress.isReading(),
    rejections: holder.getRejections(),
    members: mesh.getMembers(),
    summaries: mesh.getSummaries(),
    drains: listDrains(holder, mesh),
    gate: parts.queue.getGauges(),
    quarantine: parts.quarantine.list(),
  };
}

async function collectStatus(parts: Parts, dataCentres: readonly string[]): Promise<object> {
  const { settings, holder, mesh, platform } = parts;
  return {
    version: holder.getSnapshot().version,
    dataCentres: await collectDataCentres({
      own: await surveyDataCentre({ mesh, holder, clock: getWallTimeMs }),
      others: dataCentres.filter((name) => name !== settings.dataCentre),
      platform,
    }),
    drains: listDrains(holder, mesh),
    quarantine: parts.quarantine.list(),
  };
}
