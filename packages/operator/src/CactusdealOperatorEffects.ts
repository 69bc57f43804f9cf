import { getOwn } from '@cactusdeal/configuration';
import type { Operation, PlanEffect, Route, Service, Snapshot } from '@cactusdeal/schema';
import { findReadyWorkers } from './CactusdealOperatorIntent.js';
import type { PlanContext } from './CactusdealOperatorTypes.js';

const MAX_LISTED_EFFECTS = 200;
const MAX_LISTED_AFFECTED = 50;

/**
 * Describes what each operation changes and whom that affects. Beyond `MAX_LISTED_EFFECTS`, the
 * last item counts the operations that are left out.
 */
export function listEffects(
  before: Snapshot,
  after: Snapshot,
  operations: readonly Operation[],
): PlanEffect[] {
  const effects = operations
    .slice(0, MAX_LISTED_EFFECTS)
    .map((operation) => buildEffect(before, after, operation));
  const omittedCount = operations.length - effects.length;
  if (omittedCount > 0)
    effects.push({ subject: 'others', change: `${omittedCount} more changes`, affects: [] });
  return effects;
}

/** Lists risks that an operator should know before confirming. None of them prevents the plan. */
export function listWarnings(
  context: PlanContext,
  after: Snapshot,
  operations: readonly Operation[],
): string[] {
  const serviceNames = operations.flatMap((operation) => {
    if (operation.type === 'setService') return [operation.name];
    if (operation.type === 'setRoute') return [operation.route.service];
    return [];
  });
  const servicesWithoutWorkers = [...new Set(serviceNames)]
    .filter((name) => findReadyWorkers(context, name).length === 0)
    .map((name) => `service ${name} has no ready worker known to this daemon`);
  return [
    ...servicesWithoutWorkers,
    ...listWeightWarnings(context, operations),
    ...listDrainWarnings(context, after, operations),
  ];
}

/** Warns of data centres that would get calls but have no ready worker known to this daemon. */
function listWeightWarnings(context: PlanContext, operations: readonly Operation[]): string[] {
  return operations.flatMap((operation) => {
    if (operation.type !== 'setService') return [];
    const readyDataCentres = new Set(
      findReadyWorkers(context, operation.name).map(({ dataCentre }) => dataCentre),
    );
    if (readyDataCentres.size === 0) return [];
    return Object.entries(operation.service.weights)
      .filter(([dataCentre, weight]) => weight > 0 && !readyDataCentres.has(dataCentre))
      .map(
        ([dataCentre]) =>
          `service ${operation.name} has no ready worker known to this daemon in data centre ${dataCentre}`,
      );
  });
}

/** Warns of drains that leave a service without a ready worker in the worker's data centre. */
function listDrainWarnings(
  context: PlanContext,
  after: Snapshot,
  operations: readonly Operation[],
): string[] {
  return operations.flatMap((operation) => {
    if (operation.type !== 'setDrain') return [];
    const worker = context.getWorkers().find(({ name }) => name === operation.name);
    if (worker === undefined) return [];
    return worker.services
      .filter((service) =>
        findReadyWorkers({ ...context, snapshot: after }, service).every(
          ({ dataCentre }) => dataCentre !== worker.dataCentre,
        ),
      )
      .map(
        (service) =>
          `service ${service} would have no ready worker left in data centre ${worker.dataCentre}`,
      );
  });
}

function buildEffect(before: Snapshot, after: Snapshot, operation: Operation): PlanEffect {
  const { name } = operation;
  switch (operation.type) {
    case 'setService':
    case 'removeService':
      return {
        subject: `service ${name}`,
        change: formatChange(getOwn(before.services, name), getOwn(after.services, name)),
        affects: listAffectedByService(before, after, name),
      };
    case 'setRoute':
    case 'removeRoute': {
      const route = getOwn(after.routes, name) ?? getOwn(before.routes, name);
      return {
        subject: `route ${name}`,
        change: formatChange(getOwn(before.routes, name), getOwn(after.routes, name)),
        affects: route === undefined ? [] : listAffectedByRoute(before, after, route),
      };
    }
    default: {
      const drain = getOwn(after.drains, name) ?? getOwn(before.drains, name);
      return {
        subject: `worker ${name}`,
        change: operation.type === 'setDrain' ? 'gets no new calls' : 'gets calls again',
        affects: drain === undefined ? [] : listAffectedByService(before, after, drain.service),
      };
    }
  }
}

/** Lists the routes, classes, tenants and data centres that a change of the service affects. */
function listAffectedByService(before: Snapshot, after: Snapshot, service: string): string[] {
  const routes = [...Object.entries(before.routes), ...Object.entries(after.routes)].filter(
    ([, route]) => route.service === service,
  );
  const classes = routes.map(([, route]) => `class ${route.class}`);
  const names = routes.map(([name]) => `route ${name}`);
  return trimAffected([...names, ...classes, ...listTenantsAndDataCentres(before, after, service)]);
}

function listAffectedByRoute(before: Snapshot, after: Snapshot, route: Route): string[] {
  const own = [`service ${route.service}`, `class ${route.class}`];
  return trimAffected([...own, ...listTenantsAndDataCentres(before, after, route.service)]);
}

function listTenantsAndDataCentres(before: Snapshot, after: Snapshot, name: string): string[] {
  const services = [getOwn(before.services, name), getOwn(after.services, name)].filter(
    (service): service is Service => service !== undefined,
  );
  const tenants = services.map(({ tenant }) => `tenant ${tenant}`);
  const dataCentres = services
    .flatMap(({ weights }) => Object.keys(weights))
    .map((dataCentre) => `data centre ${dataCentre}`);
  return [...tenants, ...dataCentres];
}

/** Removes duplicates, and shortens a long list to `MAX_LISTED_AFFECTED` items and a count. */
function trimAffected(affected: readonly string[]): string[] {
  const distinct = [...new Set(affected)];
  if (distinct.length <= MAX_LISTED_AFFECTED) return distinct;
  return [
    ...distinct.slice(0, MAX_LISTED_AFFECTED),
    `and ${distinct.length - MAX_LISTED_AFFECTED} more`,
  ];
}

function formatChange(before: object | undefined, after: object | undefined): string {
  if (before === undefined) return `added: ${formatFields(after ?? {})}`;
  if (after === undefined) return 'removed';
  const from = before as Readonly<Record<string, unknown>>;
  return Object.entries(after)
    .filter(([key, value]) => JSON.stringify(value) !== JSON.stringify(from[key]))
    .map(([key, value]) => `${key}: ${formatField(from[key])} -> ${formatField(value)}`)
    .join(', ');
}

function formatFields(fields: object): string {
  return Object.entries(fields)
    .map(([key, value]) => `${key}=${formatField(value)}`)
    .join(' ');
}

function formatField(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
