import type { Route, Snapshot } from '@cactusdeal/schema';

/** A route with what the path of a call needs beside it. */
export interface CompiledRoute {
  readonly name: string;
  readonly route: Route;
  readonly tenant: string;
  readonly queueLimit: number;
  /** Weights of data centres as the operators set them; one that is not named weighs 1. */
  readonly weights: Readonly<Record<string, number>>;
}

/** Finds the route of a call by service, method and path. */
export interface RouteTable {
  match(service: string | undefined, method: string, path: string): CompiledRoute | undefined;
}

const compiled = new WeakMap<Snapshot, RouteTable>();

/** Gets the table of a snapshot; it is compiled once for each snapshot object. */
export function getRouteTable(snapshot: Snapshot): RouteTable {
  const known = compiled.get(snapshot);
  if (known !== undefined) return known;
  const table = buildRouteTable(snapshot);
  compiled.set(snapshot, table);
  return table;
}

/**
 * Compiles the routes. The longest prefix that ends at a segment boundary wins, then an exact
 * method before `*`, then the route's name in code unit order.
 */
export function buildRouteTable(snapshot: Snapshot): RouteTable {
  const routes = Object.entries(snapshot.routes)
    .map(([name, route]) => buildCompiled(snapshot, name, route))
    .filter((route) => route !== undefined);
  routes.sort(compareRoutes);
  const all = buildIndex(routes);
  const byService = new Map<string, PrefixIndex>();
  for (const service of Object.keys(snapshot.services)) {
    byService.set(service, buildIndex(routes.filter((route) => route.route.service === service)));
  }
  return {
    match: (service, method, path) => {
      const index = service === undefined ? all : byService.get(service);
      return index === undefined ? undefined : findRoute(index, method, path);
    },
  };
}

/** Routes by prefix, each list in order of preference. */
type PrefixIndex = ReadonlyMap<string, readonly CompiledRoute[]>;

function buildCompiled(snapshot: Snapshot, name: string, route: Route): CompiledRoute | undefined {
  const service = snapshot.services[route.service];
  if (service === undefined) return undefined;
  return {
    name,
    route,
    tenant: service.tenant,
    queueLimit: service.queueLimit,
    weights: service.weights,
  };
}

function compareRoutes(left: CompiledRoute, right: CompiledRoute): number {
  if ((left.route.method === '*') !== (right.route.method === '*')) {
    return left.route.method === '*' ? 1 : -1;
  }
  return left.name < right.name ? -1 : 1;
}

function buildIndex(routes: readonly CompiledRoute[]): PrefixIndex {
  const index = new Map<string, CompiledRoute[]>();
  for (const route of routes) {
    const prefix = normalizePrefix(route.route.pathPrefix);
    const list = index.get(prefix);
    if (list === undefined) index.set(prefix, [route]);
    else list.push(route);
  }
  return index;
}

const normalizePrefix = (prefix: string): string =>
  prefix.length > 1 && prefix.endsWith('/') ? prefix.slice(0, -1) : prefix;

function findRoute(index: PrefixIndex, method: string, path: string): CompiledRoute | undefined {
  let prefix = normalizePrefix(splitPath(path));
  for (;;) {
    const found = index
      .get(prefix)
      ?.find(({ route }) => route.method === '*' || route.method === method);
    if (found !== undefined) return found;
    if (prefix === '/') return undefined;
    prefix = prefix.slice(0, Math.max(1, prefix.lastIndexOf('/')));
  }
}

/** The path without its query. */
function splitPath(target: string): string {
  const end = target.indexOf('?');
  return end === -1 ? target : target.slice(0, end);
}
