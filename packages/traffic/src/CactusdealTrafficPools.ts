import { Pool } from 'undici';

/** The connections to each address. */
export interface Pools {
  get(address: string): Pool;
  /** Gives later requests new connections; the old ones close after what they carry. */
  renew(address: string): void;
  countConnections(address: string): number;
  /** Drops the pools of addresses that are not wanted any more. */
  retain(wanted: (address: string) => boolean): void;
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 4000;
const CONNECTIONS_PER_GATE = 128;

/** Creates the pools of connections to gates. */
export function createGatePools(): Pools {
  return createPools(CONNECTIONS_PER_GATE);
}

/** Creates the pools, empty; each takes up to `connections` and opens connections as requests need them. */
export function createPools(connections: number): Pools {
  const pools = new Map<string, Pool>();
  const closing = new Set<Promise<void>>();

  return {
    get: (address) => {
      const known = pools.get(address);
      if (known !== undefined) return known;
      const pool = createPool(address, connections);
      pools.set(address, pool);
      return pool;
    },
    renew: discardPool,
    countConnections: (address) => pools.get(address)?.stats.connected ?? 0,
    retain: (wanted) => {
      for (const address of pools.keys()) if (!wanted(address)) discardPool(address);
    },
    close: async () => {
      const open = [...pools.values()];
      pools.clear();
      await Promise.all([...open.map((pool) => pool.destroy()), ...closing]);
    },
  };

  function discardPool(address: string): void {
    const pool = pools.get(address);
    if (pool === undefined) return;
    pools.delete(address);
    const closed = pool.close().finally(() => closing.delete(closed));
    closing.add(closed);
  }
}

function createPool(address: string, connections: number): Pool {
  return new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    connectTimeout: CONNECT_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
  });
}
