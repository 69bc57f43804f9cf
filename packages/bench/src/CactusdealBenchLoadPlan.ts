import type { Failure } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { parse } from 'smol-toml';
import type { LoadClass } from './CactusdealBenchLoadTypes.js';

export type LoadPlanFailure = Failure<'LoadPlanInvalid'>;

const METHODS: readonly unknown[] = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE'];

const DEFAULTS = { method: 'GET', bodyBytes: 0, isKeyed: false, deadlineMs: 5_000 };

const VALIDATORS: Readonly<Record<keyof Required<LoadClass>, (value: unknown) => boolean>> = {
  name: (value) => typeof value === 'string' && value.length > 0,
  callsPerSecond: (value) => typeof value === 'number' && value > 0,
  method: (value) => METHODS.includes(value),
  path: (value) => typeof value === 'string' && value.startsWith('/'),
  bodyBytes: (value) => typeof value === 'number' && value >= 0,
  isKeyed: (value) => typeof value === 'boolean',
  deadlineMs: (value) => typeof value === 'number' && value > 0,
  headers: (value) =>
    value === undefined || Object.values(value as object).every((text) => typeof text === 'string'),
};

/** Parses the `[[class]]` tables of a load plan in TOML; the failure lists every invalid key. */
export function parseLoadPlan(text: string): Either<LoadPlanFailure, LoadClass[]> {
  let tables: unknown;
  try {
    tables = parse(text).class;
  } catch (caught) {
    return Left({ kind: 'LoadPlanInvalid', message: String(caught) });
  }
  if (!Array.isArray(tables) || tables.length === 0) {
    return Left({
      kind: 'LoadPlanInvalid',
      message: 'the load plan has no [[class]] table; at least one is required',
    });
  }
  const classes = tables.map((table: object) => ({ ...DEFAULTS, ...table }) as LoadClass);
  const errors = classes.flatMap(listKeyErrors);
  if (errors.length > 0) return Left({ kind: 'LoadPlanInvalid', message: errors.join('; ') });
  return Right(classes);
}

function listKeyErrors(loadClass: LoadClass, index: number): string[] {
  const validators = Object.entries(VALIDATORS) as [keyof LoadClass, (value: unknown) => boolean][];
  return validators
    .filter(([key, isValid]) => !isValid(loadClass[key]))
    .map(([key]) => `class[${index}].${key}: found ${JSON.stringify(loadClass[key])}`);
}
