import { decode, encode } from 'cbor-x';
import { type Either, Left, Right } from 'purify-ts';
import type { Failure } from '@cactusdeal/shared';

/** A claim as the platform holds it. */
export interface ClaimEntry {
  /** Names the one attempt that may be sent. */
  readonly attempt: string;
  /** When the attempt's answer is no longer wanted, in milliseconds since the epoch. */
  readonly deadlineAtMs: number;
  /** HTTP status that the upstream answered; undefined until that is recorded. */
  readonly status: number | undefined;
}

/** Claims of one page by hash of service and key. */
export type ClaimEntries = ReadonlyMap<string, ClaimEntry>;

/** Most claims of one page, so that its record stays under the platform's value limit. */
export const MAX_PAGE_ENTRIES = 8_000;

type EncodedEntry = readonly [Uint8Array, string, number, number];

const OPEN = 0;

/** Encodes a page. */
export function encodeEntries(entries: ClaimEntries): Uint8Array {
  const encoded = [...entries].map(([hash, { attempt, deadlineAtMs, status }]): EncodedEntry => [
    Buffer.from(hash, 'hex'),
    attempt,
    deadlineAtMs,
    status ?? OPEN,
  ]);
  return encode(encoded);
}

/** Decodes a page; a value that is not one is a `ClaimPageUnreadable` failure. */
export function decodeEntries(
  value: Uint8Array,
): Either<Failure<'ClaimPageUnreadable'>, ClaimEntries> {
  try {
    const encoded = decode(value) as EncodedEntry[];
    const entries = encoded.map(([hash, attempt, deadlineAtMs, status]) => {
      const entry = { attempt, deadlineAtMs, status: status === OPEN ? undefined : status };
      return [Buffer.from(hash).toString('hex'), entry] as const;
    });
    return Right(new Map(entries));
  } catch {
    return Left({ kind: 'ClaimPageUnreadable', message: 'claim page is not readable' });
  }
}
