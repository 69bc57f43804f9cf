import { computeFingerprint } from '@cactusdeal/quarantine';
import { findField } from './CactusdealRelayHeaders.js';
import type { GateCall, HeaderNames } from './CactusdealRelayTypes.js';

/**
 * Computes the fingerprint by which a call is recognised when its caller sends it again, at any
 * daemon. The entry sets the caller's service, so that every daemon reads the same one. The service that
 * is called is no part of it, as a route may send the same call to another one.
 */
export function computeCallFingerprint(
  { method, path, headers, body }: Pick<GateCall, 'method' | 'path' | 'headers' | 'body'>,
  names: Pick<HeaderNames, 'callerService'>,
): string {
  const caller = findField(headers, names.callerService) ?? '';
  const target = findField(headers, 'host')?.toLowerCase() ?? '';
  const content = body === undefined ? {} : { body };
  return computeFingerprint({ caller, target, method, path, ...content });
}
