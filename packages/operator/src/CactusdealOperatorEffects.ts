import { getOwn } from '@cactusdeal/configuration';
import type { Operation, PlanEffect, Route, Service, Snapshot } from '@cactusdeal/schema';
import { findReady } from './CactusdealOperatorIntent.js';
import type { PlanContext } from './CactusdealOperatorTypes.js';

const MAX_EFFECTS = 200;
const MAX_AFFECTED = 50;

/** Lists what each operation changes and whom that affects; a long list ends in a count. */
export function listEffects(
  before: Snapshot,
  after: Snapshot,
  operations: readonly Operation[],
): PlanEffect[] {
  const effects = operations
    .slice(0, MAX_EFFECTS)
    .map((operation) => buildEffect(before, after, operation));
  const left = operations.length - effects.length;
  if (left > 0) effects.push({ subject: 'others', change: `${left} more changes`, affects: [] });
  return effects;
}

/** Lists what an operator should know before confirming, none of which forbids the plan. */
export function listWarnings(
  context: PlanContext,
  after: Snapshot,
  operations: readonly Operation[],
): string[] {
  const names = operations.flatMap((operation) => {
    if (operation.type === 'setService') return [operation.name];
    if (operation.type === 'setRoute') return [operation.route.service];
    return [];
  });
  const withoutWorkers = [...new Set(names)]
    .filter((name) => findReady(context, name).length === 0)
    .map((name) => `service ${name} has no ready worker that is known here`);
  return [
    ...withoutWorkers,
    ...listWeightWarnings(context, operations),
    ...listDrainWarnings(context, after, operations),
  ];
}

function listWeightWarnings(context: PlanContext, operations: readonly Operation[]): string[] {
  return operations.flatMap((operation) => {
    if (operation.type !== 'setService') return [];
    const ready = new Set(findReady(context, operation.name).map(({ dataCentre }) => dataCentre));
    if (ready.size === 0) return [];
    return Object.entries(operation.service.weights)
      .filter(([dataCentre, weight]) => weight > 0 && !ready.has(dataCentre))
      .map(
        ([dataCentre]) => `service ${operation.name} has no ready worker known in ${dataCentre}`,
      );
  });
}

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
        findReady({ ...context, snapshot: after }, service).every(
          ({ dataCentre }) => dataCentre !== worker.dataCentre,
        ),
      )
      .map((service) => `service ${service} keeps no ready worker in ${worker.dataCentre}`);
  });
}

function buildEffect(before: Snapshot, after: Snapshot, operation: Operation): PlanEffect {
  const { name } = operation;
  switch (operation.type) {
    case 'setService':
    case 'removeService':
      return {
        subject: `service ${name}`,
        change: explainChange(getOwn(before.services, name), getOwn(after.services, name)),
        affects: listAffected(before, after, name),
      };
    case 'setRoute':
    case 'removeRoute': {
      const route = getOwn(after.routes, name) ?? getOwn(before.routes, name);
      return {
        subject: `route ${name}`,
        change: explainChange(getOwn(before.routes, name), getOwn(after.routes, name)),
        affects: route === undefined ? [] : listOfRoute(before, after, route),
      };
    }
    default: {
      const drain = getOwn(after.drains, name) ?? getOwn(before.drains, name);
      return {
        subject: `worker ${name}`,
        change: operation.type === 'setDrain' ? 'gets no new calls' : 'gets calls again',
        affects: drain === undefined ? [] : listAffected(before, after, drain.service),
      };
    }
  }
}

function listAffected(before: Snapshot, after: Snapshot, service: string): string[] {
  const routes = [...Object.entries(before.routes), ...Object.entries(after.routes)].filter(
    ([, route]) => route.service === service,
  );
  const classes = routes.map(([, route]) => `class ${route.class}`);
  const names = routes.map(([name]) => `route ${name}`);
  return trimList([...names, ...classes, ...listOfService(before, after, service)]);
}

function listOfRoute(before: Snapshot, after: Snapshot, route: Route): string[] {
  const own = [`service ${route.service}`, `class ${route.class}`];
  return trimList([...own, ...listOfService(before, after, route.service)]);
}

function listOfService(before: Snapshot, after: Snapshot, name: string): string[] {
  const services = [getOwn(before.services, name), getOwn(after.services, name)].filter(
    (service): service is Service => service !== undefined,
  );
  const tenants = services.map(({ tenant }) => `tenant ${tenant}`);
  const dataCentres = services
    .flatMap(({ weights }) => Object.keys(weights))
    .map((dataCentre) => `data centre ${dataCentre}`);
  return [...tenants, ...dataCentres];
}

function trimList(items: readonly string[]): string[] {
  const distinct = [...new Set(items)];
  if (distinct.length <= MAX_AFFECTED) return distinct;
  return [...distinct.slice(0, MAX_AFFECTED), `and ${distinct.length - MAX_AFFECTED} more`];
}

function explainChange(before: object | undefined, after: object | undefined): string {
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
