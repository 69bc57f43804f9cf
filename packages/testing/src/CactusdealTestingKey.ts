import { type Random } from '@cactusdeal/shared';

const HEX_DIGITS = 16;
const TIME_DIGITS = 12;

/** Creates an idempotency key in the form of a UUIDv7 (RFC 9562, section 5.7). */
export function createIdempotencyKey(nowMs: number, random: Random): string {
  const pickDigits = (count: number): string =>
    Array.from({ length: count }, () => Math.floor(random() * HEX_DIGITS).toString(16)).join('');
  const time = Math.floor(nowMs).toString(16).padStart(TIME_DIGITS, '0');
  const variant = (8 + Math.floor(random() * 4)).toString(16);
  return `${time.slice(0, 8)}-${time.slice(8)}-7${pickDigits(3)}-${variant}${pickDigits(3)}-${pickDigits(12)}`;
}
