import { readFile } from 'node:fs/promises';
import {
  type CompleteSettings,
  type SchemaFailure,
  type SchemaFault,
  validateSettings,
} from '@cactusdeal/schema';
import { type Failure, formatError } from '@cactusdeal/shared';
import { type Either, Left } from 'purify-ts';
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
  return validateSettings(value).mapLeft(toSettingsFailure);
}

function toSettingsFailure({ message, faults }: SchemaFailure): SettingsFailure {
  return { kind: 'SettingsInvalid', message, faults };
}
