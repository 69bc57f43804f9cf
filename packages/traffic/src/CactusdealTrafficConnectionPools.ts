import { Pool } from 'undici';

/** Connection pools by address. */
export interface ConnectionPools {
  get(address: string): Pool;
  /** Replaces the pool for later requests; old connections close after their requests in flight. */
  replace(address: string): void;
  countConnections(address: string): number;
  /** Closes the pools of all addresses for which `wanted` is false. */
  retain(isWanted: (address: string) => boolean): void;
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_TIMEOUT_MS = 4000;
const CONNECTIONS_PER_GATE = 128;

/** Creates the pools of connections to gates. */
export function createGatePools(): ConnectionPools {
  return createPools(CONNECTIONS_PER_GATE);
}

/** Creates empty pools; each opens connections on demand, at most `connections`. */
export function createPools(connections: number): ConnectionPools {
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
    replace: discardPool,
    countConnections: (address) => pools.get(address)?.stats.connected ?? 0,
    retain: (isWanted) => {
      for (const address of pools.keys()) if (!isWanted(address)) discardPool(address);
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
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
    headersTimeout: 0,
  });
}
