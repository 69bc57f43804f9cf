import type { Route, Snapshot } from '@cactusdeal/schema';
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

/** Lists every rule that the snapshot breaks; empty when it may come into force. */
export function validateSnapshot(snapshot: Snapshot): ConfigurationFault[] {
  return [
    ...findAbsentServices(snapshot),
    ...findAmbiguousRoutes(snapshot),
    ...findShareSums(snapshot),
    ...findReservedNames(snapshot),
  ];
}

function findAbsentServices(snapshot: Snapshot): ConfigurationFault[] {
  const faults: ConfigurationFault[] = [];
  for (const name of Object.keys(snapshot.routes)) {
    const { service } = snapshot.routes[name] as Route;
    if (getOwn(snapshot.services, service) === undefined) {
      faults.push(
        buildFault(FaultKind.RouteToAbsentService, `route ${name}`, `no service ${service}`),
      );
    }
  }
  for (const [name, { service }] of Object.entries(snapshot.drains)) {
    if (getOwn(snapshot.services, service) === undefined) {
      faults.push(
        buildFault(FaultKind.DrainOfAbsentService, `drain ${name}`, `no service ${service}`),
      );
    }
  }
  return faults;
}

function findAmbiguousRoutes(snapshot: Snapshot): ConfigurationFault[] {
  const faults: ConfigurationFault[] = [];
  const firstNames = new Map<string, string>();
  for (const name of Object.keys(snapshot.routes)) {
    const route = snapshot.routes[name] as Route;
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
function findShareSums(snapshot: Snapshot): ConfigurationFault[] {
  const shares = new Map<string, Map<string, number>>();
  for (const name of Object.keys(snapshot.routes)) {
    const route = snapshot.routes[name] as Route;
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
