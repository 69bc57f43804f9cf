import type { Operation, Route, Snapshot } from '@cactusdeal/schema';
import type { Failure } from '@cactusdeal/shared';
import { getOwn } from './CactusdealConfigurationSnapshot.js';

/** The rule of the configuration that a snapshot breaks. */
export const ViolationKind = {
  RouteToAbsentService: 'RouteToAbsentService',
  DrainOfAbsentService: 'DrainOfAbsentService',
  SharesAboveOne: 'SharesAboveOne',
  AmbiguousRoutes: 'AmbiguousRoutes',
  ReservedName: 'ReservedName',
} as const;
export type ViolationKind = (typeof ViolationKind)[keyof typeof ViolationKind];

/** A broken rule with the entry that breaks it. */
export interface RuleViolation extends Failure<ViolationKind> {
  /** Kind and name of the entry, for example `route lantern-records`. */
  readonly subject: string;
}

/** Absorbs rounding: a sum of floating-point shares such as 0.1 may come out just above 1. */
const SHARE_TOLERANCE = 1e-9;
/** Inherited by every plain object, so that `table[name]` finds a value that nobody set. */
const RESERVED_NAMES: readonly string[] = ['constructor'];

/** Names of services, or undefined for all of them. */
type ServiceScope = ReadonlySet<string> | undefined;

type NamedRoute = readonly [name: string, route: Route];

/**
 * Lists all violations of the configuration's rules; the list is empty when the snapshot may come
 * into force. Each rule concerns one service, so after operations on a valid snapshot it is enough
 * to check the services that `findAffectedServices` returns. Reserved names are always checked.
 *
 * @param scope services to check; all of them when absent.
 */
export function validateSnapshot(snapshot: Snapshot, scope?: ServiceScope): RuleViolation[] {
  const routes = listRoutes(snapshot, scope);
  return [
    ...findRoutesToAbsentServices(snapshot, routes),
    ...findDrainsOfAbsentServices(snapshot, scope),
    ...findAmbiguousRoutes(routes),
    ...findExcessShares(routes),
    ...findReservedNames(snapshot),
  ];
}

/** Returns the services for which the operations may break a rule. */
export function findAffectedServices(operations: readonly Operation[]): ReadonlySet<string> {
  const names = operations.flatMap((operation) => {
    if (operation.type === 'removeService') return [operation.name];
    if (operation.type === 'setRoute') return [operation.route.service];
    if (operation.type === 'setDrain') return [operation.drain.service];
    return [];
  });
  return new Set(names);
}

function listRoutes({ routes }: Snapshot, scope: ServiceScope): readonly NamedRoute[] {
  if (scope?.size === 0) return [];
  const found: NamedRoute[] = [];
  for (const name of Object.keys(routes)) {
    const route = routes[name] as Route;
    if (scope === undefined || scope.has(route.service)) found.push([name, route]);
  }
  return found;
}

function findRoutesToAbsentServices(
  { services }: Snapshot,
  routes: readonly NamedRoute[],
): RuleViolation[] {
  return routes
    .filter(([, { service }]) => getOwn(services, service) === undefined)
    .map(([name, { service }]) =>
      buildViolation(
        ViolationKind.RouteToAbsentService,
        `route ${name}`,
        `service ${service} does not exist`,
      ),
    );
}

function findDrainsOfAbsentServices(
  { services, drains }: Snapshot,
  scope: ServiceScope,
): RuleViolation[] {
  return Object.entries(drains)
    .filter(([, { service }]) => scope === undefined || scope.has(service))
    .filter(([, { service }]) => getOwn(services, service) === undefined)
    .map(([name, { service }]) =>
      buildViolation(
        ViolationKind.DrainOfAbsentService,
        `drain ${name}`,
        `service ${service} does not exist`,
      ),
    );
}

function findAmbiguousRoutes(routes: readonly NamedRoute[]): RuleViolation[] {
  const violations: RuleViolation[] = [];
  const routeNames = new Map<string, string>();
  for (const [name, route] of routes) {
    const pattern = `${route.service} ${route.method} ${route.pathPrefix}`;
    const firstRoute = routeNames.get(pattern);
    if (firstRoute === undefined) routeNames.set(pattern, name);
    else {
      const message = `matches the same calls as route ${firstRoute}: ${pattern}`;
      violations.push(buildViolation(ViolationKind.AmbiguousRoutes, `route ${name}`, message));
    }
  }
  return violations;
}

/**
 * Finds services whose classes' shares add up to more than 1. The routes of a class have one share
 * in common, which is the largest of theirs.
 */
function findExcessShares(routes: readonly NamedRoute[]): RuleViolation[] {
  const classesByService = new Map<string, Map<string, number>>();
  for (const [, route] of routes) {
    const classes = classesByService.get(route.service) ?? new Map<string, number>();
    classesByService.set(route.service, classes);
    classes.set(route.class, Math.max(classes.get(route.class) ?? 0, route.share));
  }
  const violations: RuleViolation[] = [];
  classesByService.forEach((classes, service) => {
    const sum = [...classes.values()].reduce((total, share) => total + share, 0);
    if (sum <= 1 + SHARE_TOLERANCE) return;
    const message = `the shares of its classes add up to ${sum.toFixed(3)}, allowed: at most 1`;
    violations.push(buildViolation(ViolationKind.SharesAboveOne, `service ${service}`, message));
  });
  return violations;
}

function findReservedNames(snapshot: Snapshot): RuleViolation[] {
  const tables = { service: snapshot.services, route: snapshot.routes, drain: snapshot.drains };
  return Object.entries(tables).flatMap(([kind, table]) =>
    RESERVED_NAMES.filter((name) => Object.hasOwn(table, name)).map((name) =>
      buildViolation(ViolationKind.ReservedName, `${kind} ${name}`, `the name ${name} is reserved`),
    ),
  );
}

function buildViolation(kind: ViolationKind, subject: string, message: string): RuleViolation {
  return { kind, subject, message };
}
