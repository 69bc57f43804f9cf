import type { Failure } from '@cactusdeal/shared';
import { Ajv, type ErrorObject } from 'ajv';
import { type Either, Left, Right } from 'purify-ts';
import { configurationSchema } from './CactusdealSchemaConfiguration.generated.js';
import { messagesSchema } from './CactusdealSchemaMessages.generated.js';
import { settingsSchema } from './CactusdealSchemaSettings.generated.js';

/** One place in a value that does not match its schema. */
export interface SchemaFault {
  /** Path from the root with dots, such as `listen.mesh`; empty for the root. */
  readonly path: string;
  readonly found: string;
  readonly allowed: string;
}

/** A value that does not match its schema, with all faults. */
export interface SchemaFailure extends Failure<'SchemaFailure'> {
  readonly faults: readonly SchemaFault[];
}

/** Validates a value of unknown type. Fills in the defaults of the schema in the value itself. */
export type Validator<T> = (value: unknown) => Either<SchemaFailure, T>;

/** Longest value in a fault, in characters; longer ones are cut off. */
const MAX_FOUND_LENGTH = 80;

const ajv = new Ajv({
  allErrors: true,
  discriminator: true,
  useDefaults: true,
  verbose: true,
  strict: false,
});
ajv.addSchema(configurationSchema, 'configuration');
ajv.addSchema(messagesSchema, 'messages');
ajv.addSchema(settingsSchema, 'settings');

/**
 * Creates a validator for a schema reference such as `configuration#/definitions/Plan`.
 * The schema is compiled when the validator is first called.
 *
 * @throws RangeError in the validator, when no schema has that reference.
 */
export function createValidator<T>(reference: string): Validator<T> {
  return (value) => {
    const check = ajv.getSchema<T>(reference);
    if (check === undefined) throw new RangeError(`unknown schema reference ${reference}`);
    if (check(value)) return Right(value as T);
    return Left(buildFailure(check.errors ?? []));
  };
}

/**
 * Leaves out `oneOf` errors, since the errors of the single variants say more, and a missing property
 * that the error of its union reports too.
 */
function buildFailure(errors: readonly ErrorObject[]): SchemaFailure {
  const variantPaths = new Set(
    errors.filter(({ keyword }) => keyword === 'discriminator').map((error) => toFault(error).path),
  );
  const isRepeated = (error: ErrorObject): boolean =>
    error.keyword === 'required' && variantPaths.has(toFault(error).path);
  const faults = errors
    .filter((error) => error.keyword !== 'oneOf' && !isRepeated(error))
    .map(toFault);
  const first = faults[0];
  const message =
    first === undefined ? 'the value matches none of the allowed variants' : formatFault(first);
  return { kind: 'SchemaFailure', message, faults };
}

/** Formats a fault as one line with the path, the value found and what is allowed. */
export function formatFault(fault: SchemaFault): string {
  return `${fault.path || '(root)'}: found ${fault.found}, allowed: ${fault.allowed}`;
}

function toFault(error: ErrorObject): SchemaFault {
  const base = error.instancePath.slice(1).replaceAll('/', '.');
  const params = error.params as Readonly<Record<string, unknown>>;
  if (error.keyword === 'required') {
    return {
      path: joinPath(base, params.missingProperty),
      found: 'nothing',
      allowed: 'required',
    };
  }
  if (error.keyword === 'additionalProperties') {
    const path = joinPath(base, params.additionalProperty);
    return { path, found: 'unknown key', allowed: 'only the documented keys' };
  }
  if (error.keyword === 'discriminator') return toVariantFault(base, error);
  return { path: base, found: formatFound(error.data), allowed: formatAllowed(error) };
}

/** The property that tells the variants of a union apart is missing or names none of them. */
function toVariantFault(base: string, { data, params, parentSchema }: ErrorObject): SchemaFault {
  const { tag, tagValue } = params as { readonly tag: string; readonly tagValue?: unknown };
  const variants = (parentSchema as { readonly oneOf?: readonly SchemaVariant[] }).oneOf ?? [];
  const names = variants.map(({ properties }) => properties?.[tag]?.const);
  const isMissing = tagValue === undefined && !Object.hasOwn(data as object, tag);
  return {
    path: joinPath(base, tag),
    found: isMissing ? 'nothing' : formatFound(tagValue),
    allowed: `one of ${JSON.stringify(names)}`,
  };
}

/** A variant of a union, which a constant property tells apart from the others. */
interface SchemaVariant {
  readonly properties?: Readonly<Record<string, { readonly const?: unknown }>>;
}

function joinPath(base: string, key: unknown): string {
  return base === '' ? String(key) : `${base}.${String(key)}`;
}

function formatFound(data: unknown): string {
  const text = formatJson(data);
  return text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}…` : text;
}

function formatJson(data: unknown): string {
  try {
    return JSON.stringify(data) ?? 'undefined';
  } catch {
    // What another daemon sends may be nested so deeply that it exceeds the stack.
    return `${typeof data} that cannot be shown`;
  }
}

function formatAllowed(error: ErrorObject): string {
  if (error.keyword === 'enum') return `one of ${JSON.stringify(error.schema)}`;
  if (error.keyword === 'const') return JSON.stringify(error.schema);
  return error.message ?? error.keyword;
}
