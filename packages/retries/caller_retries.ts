import type { Clock } from "@oleanderdeck/settings";
import type { Allowance } from "./allowance.ts";

/** Time for which a root request is remembered, in milliseconds. */
const REMEMBERED_MS = 30_000;

/** Root requests remembered at most; older ones are forgotten first. */
const MAXIMUM_REQUESTS = 20_000;

/**
 * Allowances of root requests by their identity, so that a caller's own
 * retries with the same identity count against the same allowance.
 */
export class CallerRetries {
  readonly #clock: Clock;
  readonly #requests = new Map<string, Remembered>();

  /** @param clock Monotonic clock. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of remembered requests. */
  get size(): number {
    return this.#requests.size;
  }

  /**
   * Finds the allowance of an earlier request with the same identity.
   *
   * @param key Organisation and identity.
   */
  find(key: string): Allowance | undefined {
    this.#forgetOld();
    return this.#requests.get(key)?.allowance;
  }

  /** Remembers a request that may have run. */
  remember(key: string, allowance: Allowance): void {
    if (this.#requests.has(key)) return;
    this.#requests.set(key, { allowance, since: this.#clock.now() });
    this.#forgetOld();
  }

  /** Forgets a request that was accurately not run. */
  forget(key: string): void {
    this.#requests.delete(key);
  }

  #forgetOld(): void {
    const oldest = this.#clock.now() - REMEMBERED_MS;
    for (const [key, request] of this.#requests) {
      const full = this.#requests.size > MAXIMUM_REQUESTS;
      if (!full && request.since >= oldest) return;
      this.#requests.delete(key);
    }
  }
}

interface Remembered {
  readonly allowance: Allowance;
  readonly since: number;
}
