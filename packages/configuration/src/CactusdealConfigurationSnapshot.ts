import type { Drain, Operation, Route, Service, Snapshot } from '@cactusdeal/schema';
import { type Either, Left, Right } from 'purify-ts';
import { type ApplyFailure, ApplyFailureKind } from './CactusdealConfigurationTypes.js';
import { updateDigests } from './CactusdealConfigurationHash.js';

/** Creates the snapshot of version 0, which holds nothing. */
export function createEmptySnapshot(): Snapshot {
  return { version: 0, services: {}, routes: {}, drains: {} };
}

/**
 * Applies operations in their order to a copy, which shares every unchanged entry with its base.
 * Removing what is absent fails with `VersionInvalid`; references are left to `validateSnapshot`.
 *
 * @param version version of the result; one above the base when absent.
 */
export function applyOperations(
  snapshot: Snapshot,
  operations: readonly Operation[],
  version: number = snapshot.version + 1,
): Either<ApplyFailure, Snapshot> {
  const tables = {
    services: new TableCopy(snapshot.services),
    routes: new TableCopy(snapshot.routes),
    drains: new TableCopy(snapshot.drains),
  };
  for (const operation of operations) {
    if (!applyOperation(tables, operation)) {
      const message = `${operation.type} ${operation.name}: it does not exist`;
      return Left({ kind: ApplyFailureKind.Invalid, message });
    }
  }
  const result = {
    version,
    services: tables.services.getTable(),
    routes: tables.routes.getTable(),
    drains: tables.drains.getTable(),
  };
  updateDigests(snapshot, result, operations);
  return Right(result);
}

/** Looks up an own entry, so that a name such as `constructor` finds nothing inherited. */
export function getOwn<T>(table: Readonly<Record<string, T>>, name: string): T | undefined {
  return Object.hasOwn(table, name) ? table[name] : undefined;
}

/** A table of a snapshot, copied when it is first written. */
class TableCopy<T> {
  private copy: Record<string, T> | undefined;

  public constructor(private readonly base: Record<string, T>) {}

  public set(name: string, value: T): boolean {
    this.copy ??= { ...this.base };
    this.copy[name] = value;
    return true;
  }

  public remove(name: string): boolean {
    if (!Object.hasOwn(this.getTable(), name)) return false;
    this.copy ??= { ...this.base };
    return delete this.copy[name];
  }

  public getTable(): Record<string, T> {
    return this.copy ?? this.base;
  }
}

interface TableCopies {
  readonly services: TableCopy<Service>;
  readonly routes: TableCopy<Route>;
  readonly drains: TableCopy<Drain>;
}

function applyOperation(tables: TableCopies, operation: Operation): boolean {
  switch (operation.type) {
    case 'setService':
      return tables.services.set(operation.name, operation.service);
    case 'setRoute':
      return tables.routes.set(operation.name, operation.route);
    case 'setDrain':
      return tables.drains.set(operation.name, operation.drain);
    case 'removeService':
      return tables.services.remove(operation.name);
    case 'removeRoute':
      return tables.routes.remove(operation.name);
    default:
      return tables.drains.remove(operation.name);
  }
}
