import { decode, encode } from 'cbor-x';
import { type Either, Left, Right } from 'purify-ts';
import type { Failure } from '@cactusdeal/shared';

/** A claim as it is stored in the platform. */
export interface ClaimEntry {
  /** Id of the one attempt that may be sent. */
  readonly attempt: string;
  /** Deadline of the attempt in milliseconds since the epoch. */
  readonly deadlineAtMs: number;
  /** HTTP status of the upstream's response; undefined until it is recorded. */
  readonly status: number | undefined;
}

/** The claims of one page, by hash of service and key. */
export type ClaimEntries = ReadonlyMap<string, ClaimEntry>;

/** Maximum number of claims of a page; keeps its record below the platform's size limit. */
export const MAX_PAGE_ENTRIES = 8_000;

type EncodedEntry = readonly [Uint8Array, string, number, number];

/** Encodes that no status is recorded yet. */
const STATUS_UNKNOWN = 0;

/** Encodes the claims of a page as CBOR. */
export function encodeEntries(entries: ClaimEntries): Uint8Array {
  const encoded = [...entries].map(([hash, { attempt, deadlineAtMs, status }]): EncodedEntry => [
    Buffer.from(hash, 'hex'),
    attempt,
    deadlineAtMs,
    status ?? STATUS_UNKNOWN,
  ]);
  return encode(encoded);
}

/** Decodes the claims of a page; fails with `ClaimPageUnreadable` for any other value. */
export function decodeEntries(
  value: Uint8Array,
): Either<Failure<'ClaimPageUnreadable'>, ClaimEntries> {
  try {
    const encoded = decode(value) as EncodedEntry[];
    const entries = encoded.map(([hash, attempt, deadlineAtMs, status]) => {
      const entry = {
        attempt,
        deadlineAtMs,
        status: status === STATUS_UNKNOWN ? undefined : status,
      };
      return [Buffer.from(hash).toString('hex'), entry] as const;
    });
    return Right(new Map(entries));
  } catch {
    return Left({
      kind: 'ClaimPageUnreadable',
      message: `claim page of ${value.byteLength} bytes is not valid CBOR claim data`,
    });
  }
}
