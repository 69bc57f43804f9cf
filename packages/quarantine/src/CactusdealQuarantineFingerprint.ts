import { createHash } from 'node:crypto';

/** The properties of a request that its fingerprint is computed from, the same ones at every daemon. */
export interface FingerprintInput {
  /** Who sends the request: the service beside the daemon where it entered; empty if there is none. */
  readonly caller: string;
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
  const { caller, target, method, path, key = null } = input;
  hash.update(JSON.stringify([caller, target, method, path, key]));
  if (input.key === undefined && input.body !== undefined) hash.update(input.body);
  return hash.digest('hex').slice(0, 32);
}
