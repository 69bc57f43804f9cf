import type { ConfigurationHolder } from '@cactusdeal/configuration';
import type { Mesh } from '@cactusdeal/mesh';
import {
  confirmPlan,
  type KnownWorker,
  planAndStore,
  type PlanContext,
  readHistory,
} from '@cactusdeal/operator';
import type { Platform } from '@cactusdeal/platform';
import type { Clock } from '@cactusdeal/shared';
import type { AdminBackend } from './CactusdealDaemonAdmin.js';

/** Components that the operator API needs. */
export interface OperatorApiOptions {
  readonly platform: Platform;
  readonly holder: ConfigurationHolder;
  readonly mesh: Mesh;
  /** Names of all data centres, this daemon's included. */
  readonly dataCentres: readonly string[];
  readonly clock: Clock;
}

/** Creates the commands of operators: plans and history are stored at the platform. */
export function createOperatorApi(
  options: OperatorApiOptions,
): Pick<AdminBackend, 'plan' | 'confirm' | 'readHistory'> {
  const { platform, clock } = options;
  return {
    plan: (operator, intent) =>
      planAndStore(platform, buildPlanContext(options), intent, operator, clock),
    confirm: async (operator, planId) => {
      const accepted = await confirmPlan(platform, planId, operator, { clock });
      return accepted.map(({ entry }) => ({ version: entry.version, planId: entry.planId }));
    },
    readHistory: (before, limit) =>
      readHistory(platform, { before: before ?? options.holder.getHeadVersion() + 1, limit }),
  };
}

function buildPlanContext({ holder, mesh, dataCentres }: OperatorApiOptions): PlanContext {
  return {
    snapshot: holder.getSnapshot(),
    headVersion: holder.getHeadVersion(),
    getWorkers: () => listWorkers(mesh),
    dataCentres,
  };
}

/**
 * Lists the workers of this data centre from the membership, and remote ones from the service
 * summaries.
 */
function listWorkers(mesh: Mesh): readonly KnownWorker[] {
  const local = mesh.getMembers().flatMap(({ state, dataCentre, worker }) => {
    const isPossiblyAlive = state === 'alive' || state === 'suspect';
    return isPossiblyAlive && worker !== undefined ? [{ ...worker, dataCentre }] : [];
  });
  return [...local, ...listRemoteWorkers(mesh)];
}

/**
 * A worker stands in one summary for each of its services; these are merged. Summaries list ready
 * workers only.
 */
function listRemoteWorkers(mesh: Mesh): readonly KnownWorker[] {
  const workersByName = new Map<string, KnownWorker>();
  mesh.getSummaries().forEach(({ dataCentre, service, gates }) => {
    gates.forEach(({ worker, slots }) => {
      const services = [...(workersByName.get(worker)?.services ?? []), service];
      workersByName.set(worker, { name: worker, dataCentre, services, state: 'ready', slots });
    });
  });
  return [...workersByName.values()];
}
