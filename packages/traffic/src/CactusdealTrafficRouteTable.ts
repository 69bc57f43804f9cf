import type { Route, Snapshot } from '@cactusdeal/schema';

/** A route together with the properties of its service that serving a call needs. */
export interface CompiledRoute {
  readonly name: string;
  readonly route: Route;
  readonly tenant: string;
  readonly queueLimit: number;
  /** Weights of data centres, set by the operators; a data centre without one has weight 1. */
  readonly weights: Readonly<Record<string, number>>;
}

/** Finds the route of a call by service, method and path. */
export interface RouteTable {
  match(service: string | undefined, method: string, path: string): CompiledRoute | undefined;
}

const tablesBySnapshot = new WeakMap<Snapshot, RouteTable>();

/** Gets the route table of a snapshot, which is built once per snapshot object. */
export function getRouteTable(snapshot: Snapshot): RouteTable {
  const known = tablesBySnapshot.get(snapshot);
  if (known !== undefined) return known;
  const table = buildRouteTable(snapshot);
  tablesBySnapshot.set(snapshot, table);
  return table;
}

/**
 * Builds the route table. Among the routes that match, the longest path prefix that ends at a segment
 * boundary wins, then an exact method before `*`, then the first name in code unit order.
 */
export function buildRouteTable(snapshot: Snapshot): RouteTable {
  const routes = Object.entries(snapshot.routes)
    .map(([name, route]) => buildCompiledRoute(snapshot, name, route))
    .filter((route) => route !== undefined);
  routes.sort(compareRoutes);
  const indexOfAll = buildIndex(routes);
  const indexByService = new Map<string, PrefixIndex>();
  for (const service of Object.keys(snapshot.services)) {
    indexByService.set(
      service,
      buildIndex(routes.filter((route) => route.route.service === service)),
    );
  }
  return {
    match: (service, method, path) => {
      const index = service === undefined ? indexOfAll : indexByService.get(service);
      return index === undefined ? undefined : findRoute(index, method, path);
    },
  };
}

/** Routes by path prefix; each list is in order of preference. */
type PrefixIndex = ReadonlyMap<string, readonly CompiledRoute[]>;

function buildCompiledRoute(
  snapshot: Snapshot,
  name: string,
  route: Route,
): CompiledRoute | undefined {
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
  let prefix = normalizePrefix(trimQuery(path));
  for (;;) {
    const found = index
      .get(prefix)
      ?.find(({ route }) => route.method === '*' || route.method === method);
    if (found !== undefined) return found;
    if (prefix === '/') return undefined;
    prefix = prefix.slice(0, Math.max(1, prefix.lastIndexOf('/')));
  }
}

/** Removes the query from a request target. */
function trimQuery(target: string): string {
  const end = target.indexOf('?');
  return end === -1 ? target : target.slice(0, end);
}
