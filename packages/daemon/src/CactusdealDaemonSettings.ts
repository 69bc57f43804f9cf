import { readFile } from 'node:fs/promises';
import {
  type CompleteSettings,
  createValidator,
  type DaemonSettings,
  type SchemaFailure,
  type SchemaFault,
} from '@cactusdeal/schema';
import { type Failure, formatCaught } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { parse as parseToml } from 'smol-toml';

/** Why the settings cannot be used; `faults` lists every one at once. */
export interface SettingsFailure extends Failure<
  'SettingsUnreadable' | 'SettingsMalformed' | 'SettingsInvalid'
> {
  readonly faults: readonly SchemaFault[];
}

const MAX_PORT = 65535;

const validateSchema = createValidator<CompleteSettings>('settings');

/** Loads and checks the settings file, with every default filled in. */
export async function loadSettings(
  path: string,
): Promise<Either<SettingsFailure, CompleteSettings>> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (caught) {
    return Left({ kind: 'SettingsUnreadable', message: formatCaught(caught), faults: [] });
  }
  return parseSettings(text);
}

/** Parses and checks the text of a settings file. */
export function parseSettings(text: string): Either<SettingsFailure, CompleteSettings> {
  let value: unknown;
  try {
    value = parseToml(text);
  } catch (caught) {
    return Left({ kind: 'SettingsMalformed', message: formatCaught(caught), faults: [] });
  }
  return validateSettings(value);
}

function validateSettings(value: unknown): Either<SettingsFailure, CompleteSettings> {
  const portFaults = listPortFaults(value);
  const checked = validateSchema(value).mapLeft((failure: SchemaFailure) => failure.faults);
  const faults = [...checked.swap().orDefault([]), ...portFaults];
  if (faults.length > 0) {
    const message = `${faults.length} fault(s) in the settings`;
    return Left({ kind: 'SettingsInvalid', message, faults });
  }
  return Right(fillIn(checked.unsafeCoerce()));
}

function fillIn(settings: CompleteSettings): CompleteSettings {
  const { mesh, calls } = settings.listen;
  const advertised: DaemonSettings['advertise'] = settings.advertise;
  return {
    ...settings,
    id: settings.id ?? mesh,
    advertise: { mesh: advertised?.mesh ?? mesh, calls: advertised?.calls ?? calls },
  };
}

/** Finds addresses whose octets or port are out of range, which the schema's pattern lets pass. */
function listPortFaults(value: unknown, path = ''): SchemaFault[] {
  if (typeof value === 'string') return checkAddress(value, path);
  if (typeof value !== 'object' || value === null) return [];
  return Object.entries(value).flatMap(([key, inner]) =>
    listPortFaults(inner, path === '' ? key : `${path}.${key}`),
  );
}

function checkAddress(text: string, path: string): SchemaFault[] {
  const match = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/.exec(text);
  if (match === null) return [];
  const octetsFit = match.slice(1, 5).every((octet) => Number(octet) <= 255);
  if (octetsFit && Number(match[5]) <= MAX_PORT) return [];
  return [{ path, found: JSON.stringify(text), allowed: 'an IP number and a port up to 65535' }];
}
