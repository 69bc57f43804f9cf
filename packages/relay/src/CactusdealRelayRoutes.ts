import { buildOrganisationTable, type OrganisationTable } from './CactusdealRelayOrganisations.js';
import type { RelayConfiguration, RouteDestination, RouteRule } from './CactusdealRelayTypes.js';

/** A route with the state for choosing among its services. */
export interface CompiledRoute {
  readonly rule: RouteRule;
  /** Calls of one kind are assumed to have similar service times. */
  readonly kind: string;
  /** Picks the service for the next call by weight. */
  pickService(): string;
}

/** Finds the route of a call. */
export interface RouteTable {
  readonly version: number;
  /** Organisations of the same version; undefined if calls need no API key. */
  readonly organisations: OrganisationTable | undefined;
  /** Finds the route of a `Host` field and request target; undefined if none matches. */
  match(host: string, target: string): CompiledRoute | undefined;
  /** Compiled routes by their rules. */
  readonly compiled: ReadonlyMap<RouteRule, CompiledRoute>;
}

/**
 * Compiles the routes of a configuration; the longest prefix of a host wins. Rules that are those of
 * `previous` keep their routes, with the state for choosing among services.
 */
export function buildRouteTable(
  configuration: RelayConfiguration,
  previous?: RouteTable,
): RouteTable {
  const compiled = new Map<RouteRule, CompiledRoute>();
  const routesByHost = new Map<string, Map<string, CompiledRoute>>();
  configuration.routes.forEach((rule) => {
    const route = previous?.compiled.get(rule) ?? buildRoute(rule);
    compiled.set(rule, route);
    const prefixes = routesByHost.get(rule.host) ?? new Map<string, CompiledRoute>();
    routesByHost.set(rule.host, prefixes.set(rule.prefix, route));
  });
  return {
    version: configuration.version,
    organisations: buildOrganisationTable(configuration.organisations),
    compiled,
    match: (host, target) => findLongestPrefix(routesByHost.get(convertHost(host)), target),
  };
}

function buildRoute(rule: RouteRule): CompiledRoute {
  return { rule, kind: formatKind(rule), pickService: createServicePicker(rule.destinations) };
}

/** Calls with large answers or bodies have kinds of their own, as the transfer takes its time. */
function formatKind(rule: RouteRule): string {
  const { priority, targetMs, idempotent, hasLargeAnswers, hasLargeBodies } = rule;
  const kind = `${priority}/${targetMs}/${idempotent ? 'repeatable' : 'once'}`;
  const largeAnswers = hasLargeAnswers ? '/large' : '';
  return `${kind}${largeAnswers}${hasLargeBodies ? '/large-body' : ''}`;
}

/** Removes the port and converts to lower case. */
function convertHost(host: string): string {
  const end = host.indexOf(':');
  return (end === -1 ? host : host.slice(0, end)).toLowerCase();
}

function findLongestPrefix(
  prefixes: ReadonlyMap<string, CompiledRoute> | undefined,
  target: string,
): CompiledRoute | undefined {
  if (prefixes === undefined) return undefined;
  const query = target.indexOf('?');
  const path = query === -1 ? target : target.slice(0, query);
  let end = path.lastIndexOf('/');
  while (end >= 0) {
    const found = prefixes.get(path.slice(0, end + 1));
    if (found !== undefined) return found;
    end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
  }
  return undefined;
}

/**
 * Creates a smooth weighted round robin: any run of calls is split by weight as evenly as possible.
 */
export function createServicePicker(destinations: readonly RouteDestination[]): () => string {
  const [onlyDestination] = destinations;
  if (destinations.length === 1 && onlyDestination !== undefined)
    return () => onlyDestination.service;
  const total = destinations.reduce((sum, destination) => sum + destination.weight, 0);
  const credits = destinations.map(() => 0);
  return () => {
    let best = 0;
    destinations.forEach((destination, index) => {
      credits[index] = (credits[index] ?? 0) + destination.weight;
      if ((credits[index] ?? 0) > (credits[best] ?? 0)) best = index;
    });
    credits[best] = (credits[best] ?? 0) - total;
    return destinations[best]?.service ?? '';
  };
}
