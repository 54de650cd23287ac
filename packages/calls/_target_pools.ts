import { type Dispatcher, Pool } from "undici";

/** Connection limit of a target without a known limit, such as another node. */
const DEFAULT_CONNECTIONS = 256;

/**
 * Time after which an idle connection is closed, in milliseconds. A new
 * connection costs about 1 ms, and at usual rates a connection is reused within
 * a second.
 */
const IDLE_CONNECTION_MS = 20_000;

/** Timeout for opening a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;

/** Time after which the pool of an unused target is closed, in milliseconds. */
const IDLE_POOL_MS = 60_000;

interface Entry {
  readonly pool: Pool;
  usedAt: number;
}

/** Connection pools of call targets, one per address. */
export class TargetPools {
  readonly #pools = new Map<string, Entry>();
  #sweptAt = 0;

  /**
   * Returns the pool for an address and creates it if necessary. Also closes
   * pools that have been unused for {@linkcode IDLE_POOL_MS}.
   *
   * @param address Address as host:port.
   * @param connectionLimit Maximum number of connections; applies to a new pool
   * only. A default limit applies if undefined.
   * @param now Monotonic time in milliseconds.
   */
  forAddress(
    address: string,
    connectionLimit: number | undefined,
    now: number,
  ): Pool {
    let entry = this.#pools.get(address);
    if (entry === undefined) {
      entry = { pool: newPool(address, connectionLimit), usedAt: now };
      this.#pools.set(address, entry);
    }
    entry.usedAt = now;
    if (now - this.#sweptAt > IDLE_POOL_MS) this.#sweep(now);
    return entry.pool;
  }

  /** Closes all pools and aborts requests in flight. */
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

/** Options of a request that is dispatched through a pool. */
export type PoolRequest = Dispatcher.DispatchOptions;

function newPool(address: string, connectionLimit: number | undefined): Pool {
  return new Pool(`http://${address}`, {
    connections: Math.max(1, connectionLimit ?? DEFAULT_CONNECTIONS),
    connectTimeout: CONNECT_TIMEOUT_MS,
    keepAliveTimeout: IDLE_CONNECTION_MS,
    // The call enforces deadline and progress timeout itself, as its policy
    // requires; undici's own timers have a resolution of half a second.
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });
}
