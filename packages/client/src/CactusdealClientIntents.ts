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

const validateIntent = createValidator<Intent>('configuration#/definitions/Intent');

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
    const service = {
      tenant: flags.tenant,
      queueLimit: flags.queueLimit ?? 100,
      weights,
    } as Service;
    return checkIntent(wrapOperation({ type: 'setService', name, service }));
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
  } as Route;
  return checkIntent(wrapOperation({ type: 'setRoute', name, route }));
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
  return validateIntent(value).mapLeft((failure) => refuseUsage(formatFaults(failure, value)));
}

/** Wraps one operation as an intent. */
export function wrapOperation(operation: Operation): unknown {
  return { type: 'applyOperations', operations: [operation] };
}

function toList(flag: unknown): readonly string[] {
  if (flag === undefined) return [];
  return Array.isArray(flag) ? flag.map(String) : [String(flag)];
}

// Every variant that was not meant reports its own faults; only those of the meant one help.
function formatFaults(failure: SchemaFailure, value: unknown): string {
  const meant = failure.faults.filter((fault) => !fault.path.endsWith('type'));
  const useful = meant.filter((fault) => !isForeignKey(fault.path, fault.found, value));
  const lines = (useful.length > 0 ? useful : failure.faults).map(formatFault);
  return [...new Set(lines)].join('; ');
}

function isForeignKey(path: string, found: string, value: unknown): boolean {
  if (found === 'unknown key') return hasPath(value, path);
  return found === 'nothing' && !/tenant|service|path/i.test(path);
}

function hasPath(value: unknown, path: string): boolean {
  const found = path.split('.').reduce<unknown>((inner, key) => {
    if (typeof inner !== 'object' || inner === null) return undefined;
    return (inner as Record<string, unknown>)[key];
  }, value);
  return found !== undefined;
}

function refuseUsage(message: string): UsageFailure {
  return { kind: 'UsageInvalid', message };
}
