import { type Dispatcher, Pool } from "undici";

/** Connections to a target whose limit is not known, such as another node. */
const DEFAULT_CONNECTIONS = 256;

/**
 * Time for which an unused connection stays open, in milliseconds. A new
 * connection costs about 1 ms, and at the usual rates a connection is used
 * again within a second.
 */
const IDLE_CONNECTION_MS = 20_000;

/** Time to open a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;

/** Time after which the pool of an unused target is closed, in milliseconds. */
const IDLE_POOL_MS = 60_000;

interface Entry {
  readonly pool: Pool;
  usedAt: number;
}

/** One connection pool for each address that calls are sent to. */
export class TargetPools {
  readonly #pools = new Map<string, Entry>();
  #sweptAt = 0;

  /**
   * Sends a request to an address.
   *
   * @param address host:port.
   * @param connectionLimit Bound on connections; used for a new pool.
   */
  of(address: string, connectionLimit: number | undefined, now: number): Pool {
    let entry = this.#pools.get(address);
    if (entry === undefined) {
      entry = { pool: newPool(address, connectionLimit), usedAt: now };
      this.#pools.set(address, entry);
    }
    entry.usedAt = now;
    if (now - this.#sweptAt > IDLE_POOL_MS) this.#sweep(now);
    return entry.pool;
  }

  /** Closes all pools; requests in flight are cut off. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((entry) => entry.pool.destroy()));
  }

  #sweep(now: number): void {
    this.#sweptAt = now;
    for (const [address, entry] of this.#pools) {
      if (now - entry.usedAt < IDLE_POOL_MS) continue;
      this.#pools.delete(address);
      entry.pool.close().catch(() => {});
    }
  }
}

/** Options of each dispatch through a pool. */
export type PoolRequest = Dispatcher.DispatchOptions;

function newPool(address: string, connectionLimit: number | undefined): Pool {
  return new Pool(`http://${address}`, {
    connections: Math.max(1, connectionLimit ?? DEFAULT_CONNECTIONS),
    connectTimeout: CONNECT_TIMEOUT_MS,
    keepAliveTimeout: IDLE_CONNECTION_MS,
    // Progress and deadline are watched by the call itself, with the times of
    // its policy; undici's own timers have a resolution of half a second.
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });
}
