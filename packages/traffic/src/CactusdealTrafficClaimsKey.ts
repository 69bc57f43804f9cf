import { createHash } from 'node:crypto';
import type { Random } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import { type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const TIME_DIGITS = 12;
const HASH_DIGITS = 32;

/**
 * Determines which keys share one record in the platform. Every daemon of a deployment must use the
 * same grouping: with different ones they would look for the claim on a key in different records.
 */
export interface ClaimGrouping {
  /** Keys whose times fall into the same window of this many milliseconds may share a record. */
  readonly windowMs: number;
  /** Number of records per window. */
  readonly shards: number;
}

/** Accepted range of the time in a key, in milliseconds before and after now. */
export interface KeyTimeLimits {
  readonly retentionMs: number;
  readonly maxFutureMs: number;
}

/** Location of the claim on a key in the platform. */
export interface ClaimLocation {
  /** Hash of service and key, 32 hexadecimal digits. */
  readonly hash: string;
  /** Platform key of the record, which may hold other claims too. */
  readonly platformKey: string;
}

/**
 * Parses the time in an idempotency key, a UUIDv7 (RFC 9562), in milliseconds since the epoch. The
 * refusal, always not run, is `KeyMissing` for anything but a UUIDv7 and `KeyExpired` for a time
 * outside the limits.
 */
export function parseKeyTime(
  key: string,
  nowMs: number,
  limits: KeyTimeLimits,
): Either<Refusal, number> {
  const normalized = key.toLowerCase();
  if (!UUID_V7.test(normalized)) {
    return Left(
      createNotRun(
        RefusalKind.KeyMissing,
        `idempotency key ${JSON.stringify(key.slice(0, 64))} is not a UUIDv7`,
      ),
    );
  }
  const keyMs = Number.parseInt(normalized.replace('-', '').slice(0, TIME_DIGITS), 16);
  if (keyMs < nowMs - limits.retentionMs || keyMs > nowMs + limits.maxFutureMs) {
    return Left(
      createNotRun(
        RefusalKind.KeyExpired,
        `the time of idempotency key ${key} is outside the limits: ${limits.retentionMs} ms before and ${limits.maxFutureMs} ms after now`,
      ),
    );
  }
  return Right(keyMs);
}

/** Builds an idempotency key: a UUIDv7 of a time in milliseconds since the epoch. */
export function buildIdempotencyKey(nowMs: number, random: Random): string {
  const time = Math.floor(nowMs).toString(16).padStart(TIME_DIGITS, '0');
  const buildDigits = (count: number): string =>
    Math.floor(random() * 16 ** count)
      .toString(16)
      .padStart(count, '0');
  const variant = '89ab'.charAt(Math.floor(random() * 4));
  const groups = [`7${buildDigits(3)}`, `${variant}${buildDigits(3)}`, buildDigits(12)];
  return [time.slice(0, 8), time.slice(8), ...groups].join('-');
}

/** Computes the location of a claim, which depends on service, key and grouping only. */
export function computeClaimLocation(
  service: string,
  key: string,
  keyMs: number,
  grouping?: ClaimGrouping,
): ClaimLocation {
  const text = JSON.stringify([service, key.toLowerCase()]);
  const hash = createHash('sha256').update(text).digest('hex').slice(0, HASH_DIGITS);
  if (grouping === undefined) return { hash, platformKey: `claim/key/${hash}` };
  const window = Math.floor(keyMs / grouping.windowMs);
  const shard = Number.parseInt(hash.slice(0, 8), 16) % grouping.shards;
  return { hash, platformKey: `claim/${window}/${shard}` };
}
