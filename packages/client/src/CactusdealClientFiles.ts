import { readFile } from 'node:fs/promises';
import { type Failure, formatError } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { parse as parseToml } from 'smol-toml';

/** A file that cannot be read, or that is neither TOML nor JSON. */
export type FileFailure = Failure<'FileUnreadable'>;

export type Table = Readonly<Record<string, unknown>>;

/** Reads a JSON file (`.json`) or a TOML file (any other name). */
export async function readTable(path: string): Promise<Either<FileFailure, Table>> {
  try {
    const text = await readFile(path, 'utf8');
    return parseTable(path, path.endsWith('.json') ? JSON.parse(text) : parseToml(text));
  } catch (caught) {
    return Left({ kind: 'FileUnreadable', message: `${path}: ${formatError(caught)}` });
  }
}

function parseTable(path: string, value: unknown): Either<FileFailure, Table> {
  const isTable = typeof value === 'object' && value !== null && !Array.isArray(value);
  if (isTable) return Right(value as Table);
  const found = Array.isArray(value) ? 'a list' : JSON.stringify(value);
  return Left({ kind: 'FileUnreadable', message: `${path}: found ${found}, allowed: an object` });
}
