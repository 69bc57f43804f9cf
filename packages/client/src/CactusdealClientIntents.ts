import { readFile } from 'node:fs/promises';
import {
  createValidator,
  formatFault,
  type Intent,
  type Operation,
  type Route,
  type SchemaFailure,
  type Service,
} from '@cactusdeal/schema';
import { type Failure, formatCaught } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { parse as parseToml } from 'smol-toml';

/** Why the words of a command make no intent. Nothing was sent. */
export type UsageFailure = Failure<'UsageInvalid' | 'FileUnreadable'>;

/** Flags of the command line as `cac` parsed them. */
export type Flags = Readonly<Record<string, unknown>>;

const validateService = createValidator<Service>('configuration#/definitions/Service');
const validateRoute = createValidator<Route>('configuration#/definitions/Route');
const validateIntent = createValidator<Intent>('configuration#/definitions/Intent');

const DEFAULT_QUEUE_LIMIT = 100;

/** Parses `DATA-CENTRE=NUMBER` pairs. */
export function parseWeights(
  pairs: readonly string[],
): Either<UsageFailure, Record<string, number>> {
  const weights: Record<string, number> = {};
  const wrong = pairs.find((pair) => {
    const match = /^([^=]+)=(\d+(?:\.\d+)?)$/.exec(pair);
    if (match?.[1] === undefined) return true;
    weights[match[1]] = Number(match[2]);
    return false;
  });
  if (wrong !== undefined) return Left(refuseUsage(`${wrong}: write DATA-CENTRE=NUMBER`));
  return Right(weights);
}

/** Builds the intent that adds or changes a service. */
export function buildServiceIntent(name: string, flags: Flags): Either<UsageFailure, Intent> {
  return parseWeights(toList(flags.weight)).chain((weights) => {
    const { tenant, queueLimit = DEFAULT_QUEUE_LIMIT } = flags;
    return validateService({ tenant, queueLimit, weights })
      .mapLeft(refuseFaults)
      .chain((service) => checkIntent(wrapOperation({ type: 'setService', name, service })));
  });
}

/** Builds the intent that adds or changes a route. */
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
    .mapLeft(refuseFaults)
    .chain((valid) => checkIntent(wrapOperation({ type: 'setRoute', name, route: valid })));
}

/** Loads operations from a TOML or JSON file with a list `operations`. */
export async function loadOperationsIntent(path: string): Promise<Either<UsageFailure, Intent>> {
  try {
    const text = await readFile(path, 'utf8');
    const value = path.endsWith('.json')
      ? (JSON.parse(text) as Record<string, unknown>)
      : parseToml(text);
    return checkIntent({ type: 'applyOperations', operations: value.operations });
  } catch (caught) {
    return Left({ kind: 'FileUnreadable', message: `${path}: ${formatCaught(caught)}` });
  }
}

/** Checks an intent against the schema before it is sent. */
export function checkIntent(value: unknown): Either<UsageFailure, Intent> {
  return validateIntent(value).mapLeft(refuseFaults);
}

/** Wraps one operation as an intent. */
export function wrapOperation(operation: Operation): unknown {
  return { type: 'applyOperations', operations: [operation] };
}

function toList(flag: unknown): readonly string[] {
  if (flag === undefined) return [];
  return Array.isArray(flag) ? flag.map(String) : [String(flag)];
}

// Each variant of a choice reports that its own type was not meant; that helps nobody.
function refuseFaults({ faults }: SchemaFailure): UsageFailure {
  const useful = faults.filter(({ path }) => path !== 'type' && !path.endsWith('.type'));
  return refuseUsage(useful.map(formatFault).join('; '));
}

function refuseUsage(message: string): UsageFailure {
  return { kind: 'UsageInvalid', message };
}
