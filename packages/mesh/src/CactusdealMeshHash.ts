import { createHash } from 'node:crypto';

const HASH_BYTES = 6;

/** Hashes text to a 48-bit unsigned integer that is the same on every host. */
export function hashText(text: string): number {
  return createHash('md5').update(text).digest().readUIntBE(0, HASH_BYTES);
}
