import type { Failure } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { findField } from './CactusdealRelayHeaders.js';
import type { HeaderNames } from './CactusdealRelayTypes.js';

const DECIMAL_PATTERN = /^(\d+(\.\d*)?|\.\d+)$/;
/** Most characters of a limit; a decimal fraction may be long, as of a number that was divided. */
const MAX_LIMIT_CHARACTERS = 40;
const LEAVING_VALUE = '1';
/** Most characters of a wrong value that a message quotes. */
const MAX_QUOTED_CHARACTERS = 40;

/**
 * Reads the limit that an upstream names in an answer, in calls per second from all daemons together;
 * undefined if it names none. Fails with `UpstreamLimitInvalid` if it is not a decimal number.
 */
export function readLimit(
  headers: readonly string[],
  names: HeaderNames,
): Either<Failure, number | undefined> {
  const text = findField(headers, names.limit);
  if (text === undefined) return Right(undefined);
  if (text.length <= MAX_LIMIT_CHARACTERS && DECIMAL_PATTERN.test(text)) return Right(Number(text));
  const found = JSON.stringify(text.slice(0, MAX_QUOTED_CHARACTERS));
  const message = `${names.limit}: found ${found}, allowed: a decimal number of at most ${MAX_LIMIT_CHARACTERS} characters`;
  return Left({ kind: 'UpstreamLimitInvalid', message });
}

/** Whether an upstream says in an answer that it is about to stop. */
export function hasLeavingSignal(headers: readonly string[], names: HeaderNames): boolean {
  return findField(headers, names.leaving) === LEAVING_VALUE;
}
