import type { RelayConfiguration, RoutePart, RouteRule } from './CactusdealRelayTypes.js';

/** A route with the state that choosing one of its parts needs. */
export interface CompiledRoute {
  readonly rule: RouteRule;
  /** Calls of one kind take alike long in the upstream. */
  readonly kind: string;
  pickService(): string;
}

/** Finds the route of a call. */
export interface RouteTable {
  readonly version: number;
  match(host: string, target: string): CompiledRoute | undefined;
}

/** Compiles the routes of a configuration; the longest prefix of a host wins. */
export function buildRouteTable(configuration: RelayConfiguration): RouteTable {
  const hosts = new Map<string, Map<string, CompiledRoute>>();
  configuration.routes.forEach((rule) => {
    const prefixes = hosts.get(rule.host) ?? new Map<string, CompiledRoute>();
    hosts.set(rule.host, prefixes.set(rule.prefix, buildRoute(rule)));
  });
  return {
    version: configuration.version,
    match: (host, target) => findLongest(hosts.get(convertHost(host)), target),
  };
}

function buildRoute(rule: RouteRule): CompiledRoute {
  const kind = `${rule.priority}/${rule.targetMs}/${rule.idempotent ? 'repeatable' : 'once'}`;
  return { rule, kind, pickService: createPicker(rule.parts) };
}

function convertHost(host: string): string {
  const end = host.indexOf(':');
  return (end === -1 ? host : host.slice(0, end)).toLowerCase();
}

function findLongest(
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

/** Smooth weighted round robin: every span of calls is split by weight as evenly as can be. */
export function createPicker(parts: readonly RoutePart[]): () => string {
  const [only] = parts;
  if (parts.length === 1 && only !== undefined) return () => only.service;
  const total = parts.reduce((sum, part) => sum + part.weight, 0);
  const credits = parts.map(() => 0);
  return () => {
    let best = 0;
    parts.forEach((part, index) => {
      credits[index] = (credits[index] ?? 0) + part.weight;
      if ((credits[index] ?? 0) > (credits[best] ?? 0)) best = index;
    });
    credits[best] = (credits[best] ?? 0) - total;
    return parts[best]?.service ?? '';
  };
}
