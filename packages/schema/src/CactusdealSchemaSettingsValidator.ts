import { type Either, Left } from 'purify-ts';
import type { DaemonSettings } from './CactusdealSchemaSettings.generated.js';
import type { CompleteSettings } from './CactusdealSchemaSettings.js';
import {
  createValidator,
  type SchemaFailure,
  type SchemaFault,
} from './CactusdealSchemaValidator.js';

const MAX_OCTET = 255;
const MAX_PORT = 65535;

const validateAgainstSchema = createValidator<CompleteSettings>('settings');

/** Validates the settings of a daemon and fills in the defaults. A failure lists all faults. */
export function validateSettings(value: unknown): Either<SchemaFailure, CompleteSettings> {
  const addressFaults = listAddressFaults(value);
  const checked = validateAgainstSchema(value);
  const schemaFaults = checked.swap().map((failure) => failure.faults);
  const faults = [...schemaFaults.orDefault([]), ...addressFaults];
  if (faults.length === 0) return checked.map(fillDefaults);
  const message = `the settings have ${faults.length} invalid or missing value(s)`;
  return Left({ kind: 'SchemaFailure', message, faults });
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
  const areOctetsValid = match.slice(1, 5).every((octet) => Number(octet) <= MAX_OCTET);
  if (areOctetsValid && Number(match[5]) <= MAX_PORT) return [];
  return [
    {
      path,
      found: JSON.stringify(text),
      allowed: `an IPv4 address with octets up to ${MAX_OCTET} and a port up to ${MAX_PORT}`,
    },
  ];
}
