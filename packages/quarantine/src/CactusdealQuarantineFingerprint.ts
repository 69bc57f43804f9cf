import { createHash } from 'node:crypto';

/** The properties of a request that its fingerprint is computed from. */
export interface FingerprintInput {
  /** The service or the host that the request is addressed to. */
  readonly target: string;
  readonly method: string;
  readonly path: string;
  /** Idempotency key, when the request has one. */
  readonly key?: string;
  /** Body, if it is small enough to be kept in memory; ignored if there is a key. */
  readonly body?: Uint8Array;
}

/** Computes the fingerprint of a request: 32 hexadecimal digits of SHA-256. */
export function computeFingerprint(input: FingerprintInput): string {
  const hash = createHash('sha256');
  hash.update(JSON.stringify([input.target, input.method, input.path, input.key ?? null]));
  if (input.key === undefined && input.body !== undefined) hash.update(input.body);
  return hash.digest('hex').slice(0, 32);
}
