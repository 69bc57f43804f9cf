import type { Operation } from '@cactusdeal/schema';
import { type Cluster, startCluster, type WorkerSpec } from '@cactusdeal/testing';
import type { DemoBody } from './CactusdealDemoBodyTypes.js';

/** Starts the body's platform, daemons and upstreams; workers go round the data centres in turn. */
export function startBody(body: DemoBody): Promise<Cluster> {
  const workers = body.services.flatMap((service) =>
    Array.from({ length: service.workers }, (_, index): WorkerSpec => ({
      name: `${service.name}-${index + 1}`,
      services: [service.name],
      slots: body.slots,
      serviceMs: service.serviceMs,
    })),
  );
  return startCluster({
    name: body.name,
    delayMs: body.delayMs,
    dataCentres: body.dataCentres.map((name, place) => ({
      name,
      workers: workers.filter((_, index) => index % body.dataCentres.length === place),
    })),
  });
}

/** Lists the operations that make the body's configuration out of nothing. */
export function listOperations(body: DemoBody): Operation[] {
  return [
    ...body.services.map(({ name, definition }): Operation => ({
      type: 'setService',
      name,
      service: definition,
    })),
    ...body.calls.map(({ name, route }): Operation => ({ type: 'setRoute', name, route })),
  ];
}
