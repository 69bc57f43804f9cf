import { computeFingerprint } from '@cactusdeal/quarantine';
import { findField } from './CactusdealRelayHeaders.js';
import type { GateCall } from './CactusdealRelayTypes.js';

/**
 * Computes the fingerprint by which a call is recognised when it is sent again, at any daemon. The
 * service is no part of it, as a route may send the same call to another one.
 */
export function computeCallFingerprint({
  method,
  path,
  headers,
  body,
}: Pick<GateCall, 'method' | 'path' | 'headers' | 'body'>): string {
  const target = findField(headers, 'host')?.toLowerCase() ?? '';
  return computeFingerprint({ target, method, path, ...(body === undefined ? {} : { body }) });
}
