import { readFile } from 'node:fs/promises';
import {
  type CompleteSettings,
  createValidator,
  type DaemonSettings,
  type SchemaFailure,
  type SchemaFault,
} from '@cactusdeal/schema';
import { type Failure, formatError } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { parse as parseToml } from 'smol-toml';

/**
 * Why the settings cannot be used. `faults` lists every invalid value of a `SettingsInvalid`, else
 * none.
 */
export interface SettingsFailure extends Failure<
  'SettingsUnreadable' | 'SettingsMalformed' | 'SettingsInvalid'
> {
  readonly faults: readonly SchemaFault[];
}

const MAX_PORT = 65535;

const validateAgainstSchema = createValidator<CompleteSettings>('settings');

/** Reads and validates the settings file, and fills in the defaults. */
export async function loadSettings(
  path: string,
): Promise<Either<SettingsFailure, CompleteSettings>> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (caught) {
    return Left({ kind: 'SettingsUnreadable', message: formatError(caught), faults: [] });
  }
  return parseSettings(text);
}

/** Parses and validates the text of a settings file, and fills in the defaults. */
export function parseSettings(text: string): Either<SettingsFailure, CompleteSettings> {
  let value: unknown;
  try {
    value = parseToml(text);
  } catch (caught) {
    return Left({ kind: 'SettingsMalformed', message: formatError(caught), faults: [] });
  }
  return validateSettings(value);
}

function validateSettings(value: unknown): Either<SettingsFailure, CompleteSettings> {
  const addressFaults = listAddressFaults(value);
  const checked = validateAgainstSchema(value).mapLeft((failure: SchemaFailure) => failure.faults);
  const faults = [...checked.swap().orDefault([]), ...addressFaults];
  if (faults.length > 0) {
    const message = `the settings have ${faults.length} invalid or missing value(s)`;
    return Left({ kind: 'SettingsInvalid', message, faults });
  }
  return Right(fillDefaults(checked.unsafeCoerce()));
}

/** Fills in the defaults that depend on other settings; the schema has filled in the fixed ones. */
function fillDefaults(settings: CompleteSettings): CompleteSettings {
  const { mesh, calls } = settings.listen;
  const advertised: DaemonSettings['advertise'] = settings.advertise;
  return {
    ...settings,
    id: settings.id ?? mesh,
    advertise: { mesh: advertised?.mesh ?? mesh, calls: advertised?.calls ?? calls },
  };
}

/**
 * Finds IPv4 addresses with an octet or a port out of range, which the pattern in the schema
 * accepts.
 */
function listAddressFaults(value: unknown, path = ''): SchemaFault[] {
  if (typeof value === 'string') return checkAddress(value, path);
  if (typeof value !== 'object' || value === null) return [];
  return Object.entries(value).flatMap(([key, inner]) =>
    listAddressFaults(inner, path === '' ? key : `${path}.${key}`),
  );
}

function checkAddress(text: string, path: string): SchemaFault[] {
  const match = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/.exec(text);
  if (match === null) return [];
  const areOctetsValid = match.slice(1, 5).every((octet) => Number(octet) <= 255);
  if (areOctetsValid && Number(match[5]) <= MAX_PORT) return [];
  return [
    {
      path,
      found: JSON.stringify(text),
      allowed: `an IPv4 address with octets up to 255 and a port up to ${MAX_PORT}`,
    },
  ];
}
