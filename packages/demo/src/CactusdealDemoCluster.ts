import type { Operation } from '@cactusdeal/schema';
import { type Cluster, startCluster, type WorkerSpec } from '@cactusdeal/testing';
import type { DemoOrganisation } from './CactusdealDemoOrganisationTypes.js';

/**
 * Starts the organisation's platform, daemons and upstreams; workers are assigned to the data centres
 * in round-robin order.
 */
export function startDemoCluster(organisation: DemoOrganisation): Promise<Cluster> {
  const workers = organisation.services.flatMap((service) =>
    Array.from({ length: service.workers }, (_, index): WorkerSpec => ({
      name: `${service.name}-${index + 1}`,
      services: [service.name],
      slots: organisation.slotsPerWorker,
      serviceMs: service.serviceMs,
    })),
  );
  return startCluster({
    name: organisation.name,
    delayMs: organisation.delayMs,
    dataCentres: organisation.dataCentres.map((name, dataCentreIndex) => ({
      name,
      workers: workers.filter(
        (_, index) => index % organisation.dataCentres.length === dataCentreIndex,
      ),
    })),
  });
}

/** Lists the operations that create the organisation's configuration from an empty one. */
export function listOperations(organisation: DemoOrganisation): Operation[] {
  return [
    ...organisation.services.map(({ name, definition }): Operation => ({
      type: 'setService',
      name,
      service: definition,
    })),
    ...organisation.calls.map(({ name, route }): Operation => ({ type: 'setRoute', name, route })),
  ];
}
