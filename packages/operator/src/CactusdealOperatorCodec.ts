import { createValidator, type LogEntry, type Plan } from '@cactusdeal/schema';
import { type Failure, formatError, parseJson as parseJsonText } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';

/** Why a stored value cannot be decoded, or does not belong to its key. */
export type ParseFailure = Failure<'ValueMalformed' | 'ValueMismatch'>;

/** Decodes and validates a stored value. */
export type Parser<T> = (bytes: Uint8Array) => Either<ParseFailure, T>;

const MAX_UNREADABLE_LENGTH = 300;
const PLACEHOLDER_HASH = '0'.repeat(64);

/** Encodes a value as JSON in UTF-8, the form in which the platform stores it. */
export function encodeValue(value: unknown): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(value));
}

/** Parses a stored plan. */
export const parsePlan = createParser<Plan>('configuration#/definitions/Plan');

const parseEntry = createParser<LogEntry>('configuration#/definitions/LogEntry');

/** Creates a parser of JSON in UTF-8 that validates against the referenced schema. */
export function createParser<T>(reference: string): Parser<T> {
  const check = createValidator<T>(reference);
  return (bytes) =>
    parseJson(bytes).chain((value) =>
      check(value).mapLeft(({ message }) => ({ kind: 'ValueMalformed', message })),
    );
}

/** Parses JSON in UTF-8 without validating it against a schema. */
export function parseJson(bytes: Uint8Array): Either<ParseFailure, unknown> {
  return decodeText(bytes).chain((text) =>
    parseJsonText(text).mapLeft(({ message }) => ({ kind: 'ValueMalformed', message })),
  );
}

function decodeText(bytes: Uint8Array): Either<ParseFailure, string> {
  try {
    return Right(new TextDecoder('utf-8', { fatal: true }).decode(bytes));
  } catch (caught) {
    return Left({ kind: 'ValueMalformed', message: `not valid JSON: ${formatError(caught)}` });
  }
}

/**
 * Decodes the log entry of a version. A value that is not a valid entry, or that states another
 * version, becomes an entry marked `unreadable`. Every daemon rejects such an entry and goes on with
 * the next version.
 */
export function decodeLogEntry(version: number, bytes: Uint8Array): LogEntry {
  return parseEntry(bytes)
    .chain((entry) =>
      entry.version === version ? Right(entry) : refuseVersionMismatch(entry.version, version),
    )
    .mapLeft(({ message }) => buildUnreadableEntry(version, message))
    .extract();
}

function refuseVersionMismatch(
  statedVersion: number,
  keyVersion: number,
): Either<ParseFailure, never> {
  const message = `the entry states version ${statedVersion}, but its key is that of version ${keyVersion}`;
  return Left({ kind: 'ValueMismatch', message });
}

function buildUnreadableEntry(version: number, reason: string): LogEntry {
  return {
    version,
    baseVersion: 0,
    planId: `unreadable-${version}`,
    operations: [],
    hash: PLACEHOLDER_HASH,
    operator: 'unknown',
    acceptedAtMs: 0,
    unreadable: `the log entry cannot be read: ${reason}`.slice(0, MAX_UNREADABLE_LENGTH),
  };
}
