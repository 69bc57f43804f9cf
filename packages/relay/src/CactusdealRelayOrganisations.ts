import { findField } from './CactusdealRelayHeaders.js';
import type { GateCall, OrganisationRule, RouteRule } from './CactusdealRelayTypes.js';

/** The organisations of one version of the configuration, by the API keys of their callers. */
export interface OrganisationTable {
  /** Finds the organisation that owns the key; undefined if none does. */
  findByKey(key: string): OrganisationRule | undefined;
  /** Share of the organisation in an upstream's slots by its weight, its calls per second; 0 to 1. */
  getShare(name: string): number;
}

/** Whether a call may be routed, and for which organisation; undefined if it has none. */
export type Authentication =
  | { readonly type: 'admitted'; readonly organisation: OrganisationRule | undefined }
  | { readonly type: 'unauthorised' };

const AUTHORIZATION_FIELD = 'authorization';
const SCHEME = 'bearer ';
/** Distance between the ranks of two organisations' priorities; routes' priorities are less apart. */
const RANK_STEP = 1_000_000;
const MAX_ROUTE_PRIORITY = RANK_STEP / 2 - 1;

/**
 * Compiles the organisations; undefined if the configuration has no table of them, so that calls need no API
 * key. With an empty table no key is known: the removal of the last organisation must not open all routes.
 */
export function buildOrganisationTable(
  organisations: readonly OrganisationRule[] | undefined,
): OrganisationTable | undefined {
  if (organisations === undefined) return undefined;
  const organisationsByKey = new Map<string, OrganisationRule>();
  organisations.forEach((organisation) => {
    organisation.keys.forEach((key) => organisationsByKey.set(key, organisation));
  });
  const shares = computeShares(organisations);
  return {
    findByKey: (key) => organisationsByKey.get(key),
    // Another daemon may hold a version with an organisation that this one does not know.
    getShare: (name) => shares.get(name) ?? 1 / organisations.length,
  };
}

/** Computes the shares by name; an organisation without a limit weighs as much as the mean of the others. */
function computeShares(organisations: readonly OrganisationRule[]): ReadonlyMap<string, number> {
  const rates = organisations
    .map(({ callsPerSecond }) => callsPerSecond)
    .filter((rate) => rate > 0);
  const limitedTotal = rates.reduce((sum, rate) => sum + rate, 0);
  const meanRate = rates.length === 0 ? 1 : limitedTotal / rates.length;
  const total = meanRate * organisations.length;
  return new Map(
    organisations.map(({ name, callsPerSecond }) => [name, (callsPerSecond || meanRate) / total]),
  );
}

/**
 * Decides whether a call may be routed, by its `Authorization` field (RFC 6750 section 2.1). Without the
 * field, calls on public routes are admitted, and calls without a route, so that their callers learn that
 * there is none. A field that names no known key is unauthorised on every route.
 */
export function checkApiKey(
  table: OrganisationTable | undefined,
  rule: Pick<RouteRule, 'isPublic'> | undefined,
  headers: readonly string[],
): Authentication {
  if (table === undefined) return { type: 'admitted', organisation: undefined };
  const field = findField(headers, AUTHORIZATION_FIELD);
  if (field === undefined) {
    const isAdmitted = rule === undefined || rule.isPublic;
    return isAdmitted ? { type: 'admitted', organisation: undefined } : { type: 'unauthorised' };
  }
  const key = parseKey(field);
  const organisation = key === undefined ? undefined : table.findByKey(key);
  return organisation === undefined ? { type: 'unauthorised' } : { type: 'admitted', organisation };
}

/** The API key in the field's value; undefined if its scheme is another one. Schemes ignore case. */
function parseKey(field: string): string | undefined {
  if (field.slice(0, SCHEME.length).toLowerCase() !== SCHEME) return undefined;
  return field.slice(SCHEME.length).trim();
}

/** Fields of a caller that never reach an upstream if the configuration has organisations, in lower case. */
export function listOrganisationFields(organisationField: string): readonly string[] {
  return [AUTHORIZATION_FIELD, organisationField];
}

/**
 * Converts an organisation's name to the value of a header field: UTF-8 as `latin1` text, with control
 * characters percent-encoded, because RFC 9110 section 5.5 does not allow them.
 */
export function formatOrganisationField(name: string): string {
  // eslint-disable-next-line no-control-regex
  const encoded = name.replace(/[\u0000-\u001f\u007f]/g, encodeURIComponent);
  return Buffer.from(encoded, 'utf8').toString('latin1');
}

/**
 * Computes the rank of a call, by which gates compare calls; 0 is the most urgent. The organisation's
 * priority goes before the route's, and calls without an organisation before those with one.
 */
export function computeRank(
  organisation: Pick<OrganisationRule, 'priority'> | undefined,
  routePriority: number,
): number {
  if (organisation === undefined) return routePriority;
  const bounded = Math.max(-MAX_ROUTE_PRIORITY, Math.min(MAX_ROUTE_PRIORITY, routePriority));
  return (organisation.priority + 1) * RANK_STEP + bounded;
}

/** Whether no call of an organisation, or none without one, has a more urgent rank. */
export function isMostUrgentRank(rank: number): boolean {
  return rank === 0 || rank === RANK_STEP;
}

/**
 * Formats what calls have in common that a busy gate refuses alike: their kind and, as a gate may refuse an
 * organisation that has used much of its upstream and admit others, their organisation and rank.
 */
export function formatRefusalKey({
  kind,
  priority,
  organisation,
}: Pick<GateCall, 'kind' | 'priority' | 'organisation'>): string {
  return organisation === undefined ? kind : `${kind} ${priority} ${organisation}`;
}
