/** HTTP connection pools (undici), one for each backend server. */
import { Pool } from 'undici';
import type { ServerSpec } from 'reedlug-decisions';

/** Pools by server address. */
export interface ServerPools {
  poolOf: (spec: ServerSpec) => Pool;
  close: () => Promise<void>;
}

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_TIMEOUT_MS = 4000;

/** Returns an empty set of pools. The pool of a server is created on first use. */
export function createServerPools(): ServerPools {
  const pools = new Map<string, Pool>();
  return {
    poolOf(spec) {
      let pool = pools.get(spec.address);
      if (pool === undefined) {
        pool = new Pool(spec.address, {
          // Unlimited, since streams are long and many; the reducer limits requests by slots.
          connections: null,
          pipelining: 1,
          connect: { timeout: CONNECT_TIMEOUT_MS },
          keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
          headersTimeout: 0,
          bodyTimeout: 0,
        });
        pools.set(spec.address, pool);
      }
      return pool;
    },
    close: async () => {
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
    },
  };
}
