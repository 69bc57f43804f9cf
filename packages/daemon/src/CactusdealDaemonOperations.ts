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
import type { AdminParts } from './CactusdealDaemonAdmin.js';

/** What the operator's verbs need of the daemon's parts. */
export interface OperationsOptions {
  readonly platform: Platform;
  readonly holder: ConfigurationHolder;
  readonly mesh: Mesh;
  readonly dataCentres: readonly string[];
  readonly clock: Clock;
}

/** Creates the operator's verbs over the platform. */
export function createOperations(
  options: OperationsOptions,
): Pick<AdminParts, 'plan' | 'confirm' | 'readHistory'> {
  const { platform, clock } = options;
  return {
    plan: (operator, intent) =>
      planAndStore(platform, buildContext(options), intent, operator, clock),
    confirm: async (operator, planId) => {
      const accepted = await confirmPlan(platform, planId, operator, { clock });
      return accepted.map(({ entry }) => ({ version: entry.version, planId: entry.planId }));
    },
    readHistory: (before, limit) =>
      readHistory(platform, { before: before ?? options.holder.getHeadVersion() + 1, limit }),
  };
}

function buildContext({ holder, mesh, dataCentres }: OperationsOptions): PlanContext {
  return {
    snapshot: holder.getSnapshot(),
    headVersion: holder.getHeadVersion(),
    getWorkers: () => listWorkers(mesh),
    dataCentres,
  };
}

/** Workers of this data centre from the membership, of the others from their summaries. */
function listWorkers(mesh: Mesh): readonly KnownWorker[] {
  const local = mesh.getMembers().flatMap(({ state, dataCentre, worker }) => {
    const isPresent = state === 'alive' || state === 'suspect';
    return isPresent && worker !== undefined ? [{ ...worker, dataCentre }] : [];
  });
  return [...local, ...listRemoteWorkers(mesh)];
}

function listRemoteWorkers(mesh: Mesh): readonly KnownWorker[] {
  const found = new Map<string, KnownWorker>();
  mesh.getSummaries().forEach(({ dataCentre, service, gates }) => {
    gates.forEach(({ worker, slots }) => {
      const services = [...(found.get(worker)?.services ?? []), service];
      found.set(worker, { name: worker, dataCentre, services, state: 'ready', slots });
    });
  });
  return [...found.values()];
}
