import { type Either, Left, Right } from 'purify-ts';
import { buildRefusal } from './CactusdealTrafficGateQueueRefusal.js';
import { type Refusal, RefusalKind } from './CactusdealTrafficTypes.js';

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const TIME_DIGITS = 12;

/** Which times of a key are taken, in milliseconds before and after now. */
export interface KeyBounds {
  readonly retentionMs: number;
  readonly leadMs: number;
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
    return Left(buildRefusal(RefusalKind.KeyMissing, 'idempotency key is not a UUIDv7'));
  }
  const keyMs = Number.parseInt(normal.replace('-', '').slice(0, TIME_DIGITS), 16);
  if (keyMs < nowMs - bounds.retentionMs || keyMs > nowMs + bounds.leadMs) {
    return Left(buildRefusal(RefusalKind.KeyExpired, 'idempotency key is outside its time'));
  }
  return Right(keyMs);
}
