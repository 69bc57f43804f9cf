import type { Operation, Snapshot } from '@cactusdeal/schema';
import { formatCanonical } from './CactusdealConfigurationCanonical.js';
import { getOwn } from './CactusdealConfigurationSnapshot.js';

/**
 * Lists the operations that turn the content of one snapshot into that of another. Services are set
 * before the routes and drains that refer to them, and removed after these.
 */
export function diffSnapshots(from: Snapshot, to: Snapshot): Operation[] {
  const services = compareTables(from.services, to.services);
  const routes = compareTables(from.routes, to.routes);
  const drains = compareTables(from.drains, to.drains);
  return [
    ...services.changed.map(([name, service]): Operation => ({
      type: 'setService',
      name,
      service,
    })),
    ...routes.removed.map((name): Operation => ({ type: 'removeRoute', name })),
    ...routes.changed.map(([name, route]): Operation => ({ type: 'setRoute', name, route })),
    ...drains.removed.map((name): Operation => ({ type: 'removeDrain', name })),
    ...drains.changed.map(([name, drain]): Operation => ({ type: 'setDrain', name, drain })),
    ...services.removed.map((name): Operation => ({ type: 'removeService', name })),
  ];
}

interface TableDiff<T> {
  readonly changed: readonly (readonly [string, T])[];
  readonly removed: readonly string[];
}

function compareTables<T>(
  from: Readonly<Record<string, T>>,
  to: Readonly<Record<string, T>>,
): TableDiff<T> {
  return {
    changed: Object.entries(to).filter(([name, value]) => !isEqual(getOwn(from, name), value)),
    removed: Object.keys(from).filter((name) => !Object.hasOwn(to, name)),
  };
}

function isEqual(left: unknown, right: unknown): boolean {
  if (left === right) return true;
  return left !== undefined && formatCanonical(left) === formatCanonical(right);
}
