import type { Clock } from "@oleanderdeck/settings";
import type { Allowance } from "./allowance.ts";

/** Time for which a root request is cached, in milliseconds. */
const RETENTION_MS = 30_000;

/** Maximum number of cached root requests; the oldest ones are evicted first. */
const MAXIMUM_REQUESTS = 20_000;

/**
 * Caches the allowances of root requests, those that begin a call chain, by
 * request id. A request that the caller itself sends again under the same id
 * thus shares the allowance of the first one.
 */
export class RootAllowanceCache {
  readonly #clock: Clock;
  readonly #requests = new Map<string, CachedRootRequest>();

  /** @param clock Monotonic clock. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of cached requests. */
  get size(): number {
    return this.#requests.size;
  }

  /**
   * Returns the cached request with the same id, if there is one.
   *
   * @param key Organisation and request id.
   */
  find(key: string): EarlierRequest | undefined {
    this.#evictOld();
    return this.#requests.get(key);
  }

  /**
   * Caches a request that may run from now on.
   *
   * @param key Organisation and request id.
   * @param allowance Allowance of the request; not used if the request is cached.
   */
  add(key: string, allowance: Allowance): void {
    const request = this.#requests.get(key);
    if (request !== undefined) {
      request.mayHaveRun = true;
      return;
    }
    const cachedAt = this.#clock.now();
    this.#requests.set(key, { allowance, mayHaveRun: true, cachedAt });
    this.#evictOld();
  }

  /**
   * Records that a request was certainly not run. A caller that sends it again
   * uses no retry for that, but shares the remaining allowance.
   *
   * @param key Organisation and request id.
   */
  recordNotRun(key: string): void {
    const request = this.#requests.get(key);
    if (request !== undefined) request.mayHaveRun = false;
  }

  #evictOld(): void {
    const oldest = this.#clock.now() - RETENTION_MS;
    for (const [key, request] of this.#requests) {
      const isFull = this.#requests.size > MAXIMUM_REQUESTS;
      if (!isFull && request.cachedAt >= oldest) return;
      this.#requests.delete(key);
    }
  }
}

/** Root request that its caller has sent before. */
export interface EarlierRequest {
  readonly allowance: Allowance;
  /** Whether any attempt may have run. */
  readonly mayHaveRun: boolean;
}

interface CachedRootRequest extends EarlierRequest {
  mayHaveRun: boolean;
  readonly cachedAt: number;
}
