import { createHash } from 'node:crypto';
import type { Random } from '@cactusdeal/shared';
import { type Either, Left, Right } from 'purify-ts';
import { createNotRun } from './CactusdealTrafficRefusal.js';
import { type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const TIME_DIGITS = 12;
const HASH_DIGITS = 32;

/**
 * Keys whose claims share one record of the platform. Every daemon of a deployment has to use the
 * same: two that differ would look for the claim on a key in different places.
 */
export interface ClaimGrouping {
  /** Length of a window of key times, in milliseconds. */
  readonly windowMs: number;
  /** Records that share a window. */
  readonly shards: number;
}

/** Which times of a key are taken, in milliseconds before and after now. */
export interface KeyBounds {
  readonly retentionMs: number;
  readonly leadMs: number;
}

/** Where the platform holds the claim on a key. */
export interface ClaimPlace {
  /** Hash of service and key, 32 hexadecimal digits. */
  readonly hash: string;
  /** Key of the platform's record, which other claims may share. */
  readonly platformKey: string;
}

/**
 * Reads the time out of an idempotency key, a UUIDv7 (RFC 9562), in milliseconds since the epoch.
 * `KeyMissing` for anything else, `KeyExpired` for a time outside the bounds; both not run.
 */
export function readKeyTime(
  key: string,
  nowMs: number,
  bounds: KeyBounds,
): Either<Refusal, number> {
  const normal = key.toLowerCase();
  if (!UUID_V7.test(normal)) {
    return Left(createNotRun(RefusalKind.KeyMissing, 'idempotency key is not a UUIDv7'));
  }
  const keyMs = Number.parseInt(normal.replace('-', '').slice(0, TIME_DIGITS), 16);
  if (keyMs < nowMs - bounds.retentionMs || keyMs > nowMs + bounds.leadMs) {
    return Left(createNotRun(RefusalKind.KeyExpired, 'idempotency key is outside its time'));
  }
  return Right(keyMs);
}

/** Builds an idempotency key: a UUIDv7 of the time given in milliseconds since the epoch. */
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

/** Computes the place of a claim; the same for the same service and key, whoever asks and when. */
export function computeClaimPlace(
  service: string,
  key: string,
  keyMs: number,
  grouping?: ClaimGrouping,
): ClaimPlace {
  const text = JSON.stringify([service, key.toLowerCase()]);
  const hash = createHash('sha256').update(text).digest('hex').slice(0, HASH_DIGITS);
  if (grouping === undefined) return { hash, platformKey: `claim/key/${hash}` };
  const window = Math.floor(keyMs / grouping.windowMs);
  const shard = Number.parseInt(hash.slice(0, 8), 16) % grouping.shards;
  return { hash, platformKey: `claim/${window}/${shard}` };
}
