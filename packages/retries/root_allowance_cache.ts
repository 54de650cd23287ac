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
export class RootAllowanceCache {
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
   * Finds an earlier request with the same identity.
   *
   * @param key Organisation and identity.
   */
  find(key: string): EarlierRequest | undefined {
    this.#forgetOld();
    return this.#requests.get(key);
  }

  /** Remembers a request that may run from now on. */
  remember(key: string, allowance: Allowance): void {
    const known = this.#requests.get(key);
    if (known !== undefined) {
      known.mayHaveRun = true;
      return;
    }
    const since = this.#clock.now();
    this.#requests.set(key, { allowance, mayHaveRun: true, since });
    this.#forgetOld();
  }

  /**
   * Records that a request was accurately not run. A caller that sends it again
   * uses no retry for that, but shares what is left of the allowance.
   */
  recordNotRun(key: string): void {
    const known = this.#requests.get(key);
    if (known !== undefined) known.mayHaveRun = false;
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

/** Request of a caller that was sent before. */
export interface EarlierRequest {
  readonly allowance: Allowance;
  /** Whether any attempt may have run. */
  readonly mayHaveRun: boolean;
}

interface Remembered extends EarlierRequest {
  mayHaveRun: boolean;
  readonly since: number;
}
