import { Pool } from 'undici';

/** How connections to one address are kept. */
export interface PoolOptions {
  readonly connections: number;
  readonly connectTimeoutMs: number;
  /** How long an unused connection is kept, in milliseconds. */
  readonly keepAliveMs: number;
}

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

/** Creates the pools, empty; each opens connections as requests need them. */
export function createPools(options: PoolOptions): Pools {
  const pools = new Map<string, Pool>();
  const closing = new Set<Promise<void>>();

  return {
    get: (address) => {
      const known = pools.get(address);
      if (known !== undefined) return known;
      const pool = createPool(address, options);
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

function createPool(address: string, options: PoolOptions): Pool {
  return new Pool(`http://${address}`, {
    connections: options.connections,
    pipelining: 1,
    connectTimeout: options.connectTimeoutMs,
    keepAliveTimeout: options.keepAliveMs,
    keepAliveMaxTimeout: options.keepAliveMs,
    headersTimeout: 0,
  });
}
