import type { Operation, Route, Snapshot } from '@cactusdeal/schema';
import type { Failure } from '@cactusdeal/shared';
import { getOwn } from './CactusdealConfigurationSnapshot.js';

/** Which rule of the configuration a snapshot breaks. */
export const FaultKind = {
  RouteToAbsentService: 'RouteToAbsentService',
  DrainOfAbsentService: 'DrainOfAbsentService',
  SharesAboveOne: 'SharesAboveOne',
  AmbiguousRoutes: 'AmbiguousRoutes',
  ReservedName: 'ReservedName',
} as const;
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** One broken rule, with the entry that breaks it. */
export interface ConfigurationFault extends Failure<FaultKind> {
  /** For example `route lantern-records`. */
  readonly subject: string;
}

/** Sums of binary fractions such as 0.1 may end just above 1. */
const SHARE_TOLERANCE = 1e-9;
/** A plain object answers for this name although nobody set it. */
const RESERVED_NAMES: readonly string[] = ['constructor'];

/** Names of services, or undefined for all of them. */
type Scope = ReadonlySet<string> | undefined;

type NamedRoute = readonly [name: string, route: Route];

/**
 * Lists every rule that the snapshot breaks; empty when it may come into force. Each rule concerns
 * one service, so after operations on a snapshot without faults it is enough to check the services
 * that `findAffectedServices` names.
 */
export function validateSnapshot(snapshot: Snapshot, scope?: Scope): ConfigurationFault[] {
  const routes = listRoutes(snapshot, scope);
  return [
    ...findRoutesToNothing(snapshot, routes),
    ...findDrainsOfNothing(snapshot, scope),
    ...findAmbiguousRoutes(routes),
    ...findShareSums(routes),
    ...findReservedNames(snapshot),
  ];
}

/** Names the services about which the operations can break a rule. */
export function findAffectedServices(operations: readonly Operation[]): ReadonlySet<string> {
  const names = operations.flatMap((operation) => {
    if (operation.type === 'removeService') return [operation.name];
    if (operation.type === 'setRoute') return [operation.route.service];
    if (operation.type === 'setDrain') return [operation.drain.service];
    return [];
  });
  return new Set(names);
}

function listRoutes({ routes }: Snapshot, scope: Scope): readonly NamedRoute[] {
  if (scope?.size === 0) return [];
  const found: NamedRoute[] = [];
  for (const name of Object.keys(routes)) {
    const route = routes[name] as Route;
    if (scope === undefined || scope.has(route.service)) found.push([name, route]);
  }
  return found;
}

function findRoutesToNothing(
  { services }: Snapshot,
  routes: readonly NamedRoute[],
): ConfigurationFault[] {
  return routes
    .filter(([, { service }]) => getOwn(services, service) === undefined)
    .map(([name, { service }]) =>
      buildFault(FaultKind.RouteToAbsentService, `route ${name}`, `no service ${service}`),
    );
}

function findDrainsOfNothing({ services, drains }: Snapshot, scope: Scope): ConfigurationFault[] {
  return Object.entries(drains)
    .filter(([, { service }]) => scope === undefined || scope.has(service))
    .filter(([, { service }]) => getOwn(services, service) === undefined)
    .map(([name, { service }]) =>
      buildFault(FaultKind.DrainOfAbsentService, `drain ${name}`, `no service ${service}`),
    );
}

function findAmbiguousRoutes(routes: readonly NamedRoute[]): ConfigurationFault[] {
  const faults: ConfigurationFault[] = [];
  const firstNames = new Map<string, string>();
  for (const [name, route] of routes) {
    const matched = `${route.service} ${route.method} ${route.pathPrefix}`;
    const first = firstNames.get(matched);
    if (first === undefined) firstNames.set(matched, name);
    else {
      const message = `matches the same calls as route ${first}: ${matched}`;
      faults.push(buildFault(FaultKind.AmbiguousRoutes, `route ${name}`, message));
    }
  }
  return faults;
}

/** Routes of one class hold one share together, the largest of theirs. */
function findShareSums(routes: readonly NamedRoute[]): ConfigurationFault[] {
  const shares = new Map<string, Map<string, number>>();
  for (const [, route] of routes) {
    const classes = shares.get(route.service) ?? new Map<string, number>();
    shares.set(route.service, classes);
    classes.set(route.class, Math.max(classes.get(route.class) ?? 0, route.share));
  }
  const faults: ConfigurationFault[] = [];
  shares.forEach((classes, service) => {
    const sum = [...classes.values()].reduce((total, share) => total + share, 0);
    if (sum <= 1 + SHARE_TOLERANCE) return;
    const message = `the shares of its classes add up to ${sum.toFixed(3)}, allowed: at most 1`;
    faults.push(buildFault(FaultKind.SharesAboveOne, `service ${service}`, message));
  });
  return faults;
}

function findReservedNames(snapshot: Snapshot): ConfigurationFault[] {
  const tables = { service: snapshot.services, route: snapshot.routes, drain: snapshot.drains };
  return Object.entries(tables).flatMap(([kind, table]) =>
    RESERVED_NAMES.filter((name) => Object.hasOwn(table, name)).map((name) =>
      buildFault(FaultKind.ReservedName, `${kind} ${name}`, 'the name is reserved'),
    ),
  );
}

function buildFault(kind: FaultKind, subject: string, message: string): ConfigurationFault {
  return { kind, subject, message };
}
