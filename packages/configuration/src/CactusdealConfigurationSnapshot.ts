import type { Drain, Operation, Route, Service, Snapshot } from '@cactusdeal/schema';
import { type Either, Left, Right } from 'purify-ts';
import { type ApplyFailure, ApplyFailureKind } from './CactusdealConfigurationTypes.js';
import { updateDigestTree } from './CactusdealConfigurationHash.js';

/** Creates the snapshot of version 0, which has no entries. */
export function createEmptySnapshot(): Snapshot {
  return { version: 0, services: {}, routes: {}, drains: {} };
}

/**
 * Applies the operations in order to a copy of the snapshot; unchanged entries are shared with it.
 * Fails with `VersionInvalid` when an operation removes an entry that does not exist. References
 * between entries are not checked here but by `validateSnapshot`.
 *
 * @param version version of the result; when absent, one above that of `snapshot`.
 */
export function applyOperations(
  snapshot: Snapshot,
  operations: readonly Operation[],
  version: number = snapshot.version + 1,
): Either<ApplyFailure, Snapshot> {
  const tables = {
    services: new CopyOnWriteTable(snapshot.services),
    routes: new CopyOnWriteTable(snapshot.routes),
    drains: new CopyOnWriteTable(snapshot.drains),
  };
  for (const operation of operations) {
    if (!applyOperation(tables, operation)) {
      const message = `${operation.type} ${operation.name}: there is no entry of this name to remove`;
      return Left({ kind: ApplyFailureKind.Invalid, message });
    }
  }
  const result = {
    version,
    services: tables.services.getTable(),
    routes: tables.routes.getTable(),
    drains: tables.drains.getTable(),
  };
  updateDigestTree(snapshot, result, operations);
  return Right(result);
}

/** Looks up an own property, so that a name such as `constructor` finds no inherited value. */
export function getOwn<T>(table: Readonly<Record<string, T>>, name: string): T | undefined {
  return Object.hasOwn(table, name) ? table[name] : undefined;
}

/** A table of a snapshot that is copied at its first change; the base stays as it is. */
class CopyOnWriteTable<T> {
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

/** The tables of the snapshot that operations are applied to. */
interface SnapshotTables {
  readonly services: CopyOnWriteTable<Service>;
  readonly routes: CopyOnWriteTable<Route>;
  readonly drains: CopyOnWriteTable<Drain>;
}

/** Applies one operation; returns false when the entry to remove does not exist. */
function applyOperation(tables: SnapshotTables, operation: Operation): boolean {
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
