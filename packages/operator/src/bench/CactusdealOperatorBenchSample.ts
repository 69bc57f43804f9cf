import type { Operation, Route, Service, Snapshot } from '@cactusdeal/schema';

/** Number of routes to each service. */
export const ROUTES_PER_SERVICE = 3;

const DATA_CENTRES = 10;
const CLASSES = ['approve', 'consult', 'browse'] as const;
const RANKS = ['critical', 'high', 'low'] as const;

/** Builds a snapshot with the given number of services, each with weights for ten data centres. */
export function buildSample(serviceCount: number): Snapshot {
  const services: Record<string, Service> = {};
  const routes: Record<string, Route> = {};
  for (let index = 0; index < serviceCount; index += 1) {
    const name = `service-${index}`;
    services[name] = buildService(index);
    for (let number = 0; number < ROUTES_PER_SERVICE; number += 1) {
      routes[`${name}-route-${number}`] = buildRoute(name, number);
    }
  }
  return { version: 1, services, routes, drains: {} };
}

/** Builds an operation that changes one service, which depends on `number`. */
export function buildChange(number: number, serviceCount: number): Operation {
  const index = (number * 7919) % serviceCount;
  const service = { ...buildService(index), queueLimit: 1 + (number % 9999) };
  return { type: 'setService', name: `service-${index}`, service };
}

function buildService(index: number): Service {
  const weights = Array.from({ length: DATA_CENTRES }, (_, centre) => [
    `data-centre-${centre}`,
    (index + centre) % 5,
  ]);
  return {
    tenant: `tenant-${index % 40}`,
    weights: Object.fromEntries(weights) as Record<string, number>,
    queueLimit: 64,
  };
}

function buildRoute(service: string, number: number): Route {
  return {
    service,
    method: number === 0 ? 'POST' : 'GET',
    pathPrefix: `/${service}/part-${number}`,
    rank: RANKS[number] ?? 'normal',
    class: CLASSES[number] ?? 'other',
    deadlineMs: 2000,
    effect: number === 0 ? 'atMostOnce' : 'idempotent',
    share: 0.2,
    worth: 10 - number,
    maxBodyBytes: 1_048_576,
  };
}
