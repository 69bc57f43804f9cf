import {
  createValidator,
  formatFault,
  type Intent,
  type Operation,
  type Route,
  type SchemaFailure,
  type Service,
} from '@cactusdeal/schema';
import type { Failure } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { type FileFailure, readTable } from './CactusdealClientFiles.js';

/** Why a command line or a file does not give a valid intent. Nothing was sent. */
export type UsageFailure = Failure<'UsageInvalid'> | FileFailure;

/** Options of the command line as `cac` parsed them. */
export type Flags = Readonly<Record<string, unknown>>;

const validateService = createValidator<Service>('configuration#/definitions/Service');
const validateRoute = createValidator<Route>('configuration#/definitions/Route');
const validateIntent = createValidator<Intent>('configuration#/definitions/Intent');

/** Calls that may wait at one gate. */
const DEFAULT_QUEUE_LIMIT = 100;

/** Parses `DATA-CENTRE=NUMBER` pairs; the last weight of a data centre counts. */
export function parseWeights(
  pairs: readonly string[],
): Either<UsageFailure, Record<string, number>> {
  const weights: Record<string, number> = {};
  const invalid = pairs.find((pair) => {
    const match = /^([^=]+)=(\d+(?:\.\d+)?)$/.exec(pair);
    if (match?.[1] === undefined) return true;
    weights[match[1]] = Number(match[2]);
    return false;
  });
  if (invalid !== undefined)
    return Left(
      buildUsageFailure(
        `invalid weight "${invalid}", allowed: DATA-CENTRE=NUMBER with a decimal number from 0`,
      ),
    );
  return Right(weights);
}

/** Builds the intent that adds or changes a service; options that are not given get defaults. */
export function buildServiceIntent(name: string, flags: Flags): Either<UsageFailure, Intent> {
  return parseWeights(toStringList(flags.weight)).chain((weights) => {
    const { tenant, queueLimit = DEFAULT_QUEUE_LIMIT } = flags;
    return validateService({ tenant, queueLimit, weights })
      .mapLeft(convertSchemaFailure)
      .chain((service) => checkIntent(wrapOperation({ type: 'setService', name, service })));
  });
}

/** Builds the intent that adds or changes a route; options that are not given get defaults. */
export function buildRouteIntent(name: string, flags: Flags): Either<UsageFailure, Intent> {
  const route = {
    service: flags.service,
    method: flags.method ?? '*',
    pathPrefix: flags.path,
    rank: flags.rank ?? 'normal',
    class: flags.class ?? name,
    deadlineMs: flags.deadlineMs ?? 10_000,
    effect: flags.effect ?? 'idempotent',
    share: flags.share ?? 0,
    worth: flags.worth ?? 1,
    maxBodyBytes: flags.maxBodyBytes ?? 1_048_576,
  };
  return validateRoute(route)
    .mapLeft(convertSchemaFailure)
    .chain((valid) => checkIntent(wrapOperation({ type: 'setRoute', name, route: valid })));
}

/** Reads the list `operations` of a JSON file (`.json`) or a TOML file (any other name). */
export async function loadOperationsIntent(path: string): Promise<Either<UsageFailure, Intent>> {
  const table = await readTable(path);
  return table.chain(({ operations }) => checkIntent({ type: 'applyOperations', operations }));
}

/** Validates an intent against the schema before it is sent. */
export function checkIntent(value: unknown): Either<UsageFailure, Intent> {
  return validateIntent(value).mapLeft(convertSchemaFailure);
}

/** Wraps one operation as an intent. */
export function wrapOperation(operation: Operation): unknown {
  return { type: 'applyOperations', operations: [operation] };
}

function toStringList(flag: unknown): readonly string[] {
  if (flag === undefined) return [];
  return Array.isArray(flag) ? flag.map(String) : [String(flag)];
}

function convertSchemaFailure({ faults }: SchemaFailure): UsageFailure {
  return buildUsageFailure(faults.map(formatFault).join('; '));
}

export function buildUsageFailure(message: string): UsageFailure {
  return { kind: 'UsageInvalid', message };
}
