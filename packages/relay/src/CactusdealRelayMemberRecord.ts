import { isSocketAddress } from '@cactusdeal/shared';
import type { Member } from './CactusdealRelayTypes.js';

/** Parses what another writer says a daemon is; undefined if it names none that can be linked to. */
export function parseMember(value: unknown): Member | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { id, dataCentre, service, address } = value as Partial<Member>;
  if (typeof id !== 'string' || id === '' || !isSocketAddress(address)) return undefined;
  if (typeof dataCentre !== 'string' || typeof service !== 'string') return undefined;
  return { id, dataCentre, service, address };
}
