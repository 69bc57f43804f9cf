import { createValidator, type LogEntry, type Plan } from '@cactusdeal/schema';
import { type Failure, formatCaught } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';

/** Why stored bytes are not what their key promises. */
export type ParseFailure = Failure<'ValueMalformed' | 'ValueMismatch'>;

/** Turns bytes into a value. */
export type Parser<T> = (bytes: Uint8Array) => Either<ParseFailure, T>;

const MAX_REASON_LENGTH = 300;
const NO_HASH = '0'.repeat(64);

/** Formats a value as the JSON bytes that the platform holds. */
export function encodeValue(value: unknown): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(value));
}

/** Parses a stored plan. */
export const parsePlan = createParser<Plan>('configuration#/definitions/Plan');

const parseEntry = createParser<LogEntry>('configuration#/definitions/LogEntry');

/** Creates a parser of JSON bytes that fit the schema reference. */
export function createParser<T>(reference: string): Parser<T> {
  const check = createValidator<T>(reference);
  return (bytes) =>
    parseJson(bytes).chain((value) =>
      check(value).mapLeft(({ message }) => ({ kind: 'ValueMalformed', message })),
    );
}

/** Parses JSON bytes of any shape. */
export function parseJson(bytes: Uint8Array): Either<ParseFailure, unknown> {
  try {
    return Right(JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes)));
  } catch (caught) {
    return Left({ kind: 'ValueMalformed', message: `no JSON: ${formatCaught(caught)}` });
  }
}

/**
 * Reads the log value of a version. A value that is no entry, or one of another version, becomes an
 * entry marked unreadable, which every daemon rejects while its head moves on.
 */
export function readLogValue(version: number, bytes: Uint8Array): LogEntry {
  return parseEntry(bytes)
    .chain((entry) =>
      entry.version === version ? Right(entry) : refuseVersion(entry.version, version),
    )
    .mapLeft(({ message }) => buildUnreadable(version, message))
    .extract();
}

function refuseVersion(stated: number, key: number): Either<ParseFailure, never> {
  const message = `it states version ${stated}, its key ${key}`;
  return Left({ kind: 'ValueMismatch', message });
}

function buildUnreadable(version: number, reason: string): LogEntry {
  return {
    version,
    baseVersion: 0,
    planId: `unreadable-${version}`,
    operations: [],
    hash: NO_HASH,
    operator: 'unknown',
    acceptedAtMs: 0,
    unreadable: `log value cannot be read: ${reason}`.slice(0, MAX_REASON_LENGTH),
  };
}
