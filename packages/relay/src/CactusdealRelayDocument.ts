import { type Failure, FailureError, formatError } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { applyPatch, type Operation } from 'rfc6902';

/**
 * A configuration as a JSON object, whose tables (members that are objects) have one entry for each
 * route, service or the like. Versions share the tables and entries that are equal in both, so none of
 * them may be changed in place.
 */
export type JsonDocument = Readonly<Record<string, unknown>>;

/**
 * An operation of RFC 6902. An entry that is added to a table also names the entry that it follows, null
 * for the first place: a daemon that does not know the member ignores it and adds the entry at the end.
 */
export type DocumentOperation = Operation & { readonly after?: string | null };

export function isJsonDocument(value: unknown): value is JsonDocument {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Lists the operations that turn `base` into `target`. The work is a comparison of references for what
 * both share.
 */
export function diffDocuments(base: JsonDocument, target: JsonDocument): DocumentOperation[] {
  return diffTable(base, target, '', diffMember);
}

function diffMember(before: unknown, after: unknown, path: string): readonly DocumentOperation[] {
  if (!isJsonDocument(before) || !isJsonDocument(after)) return diffEntry(before, after, path);
  if (!hasSameOrder(before, after)) return [{ op: 'replace', path, value: after }];
  return diffTable(before, after, path, diffEntry);
}

function diffEntry(before: unknown, after: unknown, path: string): readonly DocumentOperation[] {
  return isEqualJson(before, after) ? [] : [{ op: 'replace', path, value: after }];
}

function diffTable(
  base: JsonDocument,
  target: JsonDocument,
  path: string,
  diff: typeof diffEntry,
): DocumentOperation[] {
  const operations: DocumentOperation[] = [];
  Object.keys(base).forEach((name) => {
    if (!Object.hasOwn(target, name))
      operations.push({ op: 'remove', path: path + formatToken(name) });
  });
  let previous: string | null = null;
  Object.keys(target).forEach((name) => {
    const value = target[name];
    if (!Object.hasOwn(base, name))
      operations.push({ op: 'add', path: path + formatToken(name), value, after: previous });
    else if (base[name] !== value)
      operations.push(...diff(base[name], value, path + formatToken(name)));
    previous = name;
  });
  return operations;
}

/** Whether the entries that both tables have follow one another in the same order. */
function hasSameOrder(base: JsonDocument, target: JsonDocument): boolean {
  const kept = Object.keys(base).filter((name) => Object.hasOwn(target, name));
  let index = 0;
  return Object.keys(target).every((name) => {
    if (kept[index] === name) index += 1;
    else if (Object.hasOwn(base, name)) return false;
    return true;
  });
}

/**
 * Replaces each table and entry of `next` that equals that of `base` by the one of `base`. Changes `next`,
 * which must be newly parsed, and returns it.
 */
export function shareEntries(base: JsonDocument, next: JsonDocument): JsonDocument {
  const document = next as Record<string, unknown>;
  Object.keys(document).forEach((name) => {
    if (Object.hasOwn(base, name)) document[name] = shareTable(base[name], document[name]);
  });
  return document;
}

function shareTable(base: unknown, next: unknown): unknown {
  if (base === next || !isJsonDocument(base) || !isJsonDocument(next)) return next;
  const table = next as Record<string, unknown>;
  const names = Object.keys(table);
  const baseNames = Object.keys(base);
  let isSame = names.length === baseNames.length;
  names.forEach((name, index) => {
    if (Object.hasOwn(base, name) && isEqualJson(base[name], table[name])) table[name] = base[name];
    else isSame = false;
    if (baseNames[index] !== name) isSame = false;
  });
  return isSame ? base : table;
}

/** Compares parsed JSON; the order of an object's members does not count. */
function isEqualJson(left: unknown, right: unknown): boolean {
  if (left === right) return true;
  if (typeof left !== 'object' || typeof right !== 'object' || left === null || right === null)
    return false;
  if (Array.isArray(left) || Array.isArray(right)) {
    return (
      Array.isArray(left) &&
      Array.isArray(right) &&
      left.length === right.length &&
      left.every((value, index) => isEqualJson(value, right[index]))
    );
  }
  const names = Object.keys(left);
  return (
    names.length === Object.keys(right).length &&
    names.every(
      (name) =>
        Object.hasOwn(right, name) &&
        isEqualJson((left as JsonDocument)[name], (right as JsonDocument)[name]),
    )
  );
}

/**
 * Applies operations; the result shares with `base` what they do not touch. Fails, without a partial
 * result, if one of them is not possible.
 */
export function applyOperations(
  base: JsonDocument,
  operations: readonly DocumentOperation[],
): Either<Failure, JsonDocument> {
  const members = { ...base };
  const tables = new Map<string, OpenTable>();
  try {
    operations.forEach((operation) => applyOperation(members, tables, operation));
  } catch (caught) {
    return Left({ kind: 'VersionUpdateInvalid', message: formatError(caught) });
  }
  tables.forEach((table, name) => setOwn(members, name, closeTable(table)));
  return Right(members);
}

/** A table while operations change it. */
interface OpenTable {
  readonly entries: Record<string, unknown>;
  /** Names of added entries, by the entry that each follows. */
  readonly followers: Map<string | null, string>;
}

function applyOperation(
  members: Record<string, unknown>,
  tables: Map<string, OpenTable>,
  operation: DocumentOperation,
): void {
  const [name, entryName, ...rest] = parsePointer(operation.path);
  if (name === undefined) throw createPatchFailure('replaces the whole document');
  if (entryName === undefined) {
    const table = tables.get(name);
    if (table !== undefined) setOwn(members, name, closeTable(table));
    tables.delete(name);
    const base = Object.hasOwn(members, name) ? members[name] : undefined;
    setEntry(members, name, operation);
    if (operation.op !== 'remove') setOwn(members, name, shareTable(base, members[name]));
    return;
  }
  const member = Object.hasOwn(members, name) ? members[name] : undefined;
  if (!isJsonDocument(member)) {
    setOwn(members, name, applyToValue(member, [entryName, ...rest], operation));
    return;
  }
  const table = tables.get(name) ?? { entries: { ...member }, followers: new Map() };
  tables.set(name, table);
  const isKnown = Object.hasOwn(table.entries, entryName);
  if (rest.length === 0) {
    if (operation.op === 'add' && operation.after !== undefined && !isKnown)
      table.followers.set(operation.after, entryName);
    setEntry(table.entries, entryName, operation);
  } else {
    const entry = isKnown ? table.entries[entryName] : undefined;
    setOwn(table.entries, entryName, applyToValue(entry, rest, operation));
  }
}

function setEntry(
  entries: Record<string, unknown>,
  name: string,
  operation: DocumentOperation,
): void {
  const { op, path } = operation;
  if (op !== 'add' && op !== 'replace' && op !== 'remove')
    throw createPatchFailure(`unknown: ${op}`);
  if (op !== 'add' && !Object.hasOwn(entries, name)) throw createPatchFailure(`nothing at ${path}`);
  if (op === 'remove') Reflect.deleteProperty(entries, name);
  else if (operation.value === undefined) throw createPatchFailure(`no value for ${path}`);
  else setOwn(entries, name, operation.value);
}

/** Sets a property of the object itself, also for the name of its prototype. */
function setOwn(object: Record<string, unknown>, name: string, value: unknown): void {
  const target = object;
  if (name !== '__proto__') target[name] = value;
  else
    Object.defineProperty(target, name, {
      value,
      writable: true,
      enumerable: true,
      configurable: true,
    });
}

/** Applies an operation inside a value; daemons of earlier releases send such ones. */
function applyToValue(
  value: unknown,
  tokens: readonly string[],
  operation: DocumentOperation,
): unknown {
  if (operation.op === 'move' || operation.op === 'copy')
    throw createPatchFailure(`has ${operation.op}`);
  const copy = structuredClone(value);
  const path = tokens.map(formatToken).join('');
  const [fault] = applyPatch(copy, [{ ...operation, path }]);
  if (fault !== null && fault !== undefined) throw fault;
  return copy;
}

/** Puts each added entry behind the one that it follows. */
function closeTable({ entries, followers }: OpenTable): JsonDocument {
  if (followers.size === 0) return entries;
  const added = new Set(followers.values());
  const names = new Set<string>();
  const addFollowers = (first: string | null): void => {
    let name = followers.get(first);
    while (name !== undefined && Object.hasOwn(entries, name) && !names.has(name)) {
      names.add(name);
      name = followers.get(name);
    }
  };
  addFollowers(null);
  Object.keys(entries).forEach((name) => {
    if (added.has(name)) return;
    names.add(name);
    addFollowers(name);
  });
  // An entry that follows an unknown one stays at the end.
  Object.keys(entries).forEach((name) => names.add(name));
  return Object.fromEntries([...names].map((name) => [name, entries[name]]));
}

/** The next part of a JSON pointer (RFC 6901). */
function formatToken(name: string): string {
  return `/${name.replaceAll('~', '~0').replaceAll('/', '~1')}`;
}

function parsePointer(path: string): string[] {
  return path
    .split('/')
    .slice(1)
    .map((token) => token.replaceAll('~1', '/').replaceAll('~0', '~'));
}

function createPatchFailure(message: string): FailureError {
  return new FailureError({ kind: 'PatchInvalid', message });
}
