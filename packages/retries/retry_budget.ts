import type { Clock } from "@oleanderdeck/settings";

/** Time over which first attempts and retries are compared, in milliseconds. */
export const BUDGET_WINDOW_MS = 10_000;

/** Retries allowed in the window for each first attempt. */
export const BUDGET_RATIO = 0.1;

/** Retries allowed in the window without any first attempt. */
export const BUDGET_CONSTANT = 10;

const BUCKETS = 10;
const BUCKET_MS = BUDGET_WINDOW_MS / BUCKETS;

/**
 * Bounds the retries of each organisation on this node to a share of its first
 * attempts, so that a failing service does not multiply its own load.
 */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #accounts = new Map<string, Account>();

  /** @param clock Monotonic clock. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Counts a first attempt. */
  countFirst(organisation: string): void {
    this.#account(organisation).first[this.#turn(organisation)]!++;
  }

  /** Uses one retry of the budget, if there is one. */
  take(organisation: string): boolean {
    const bucket = this.#turn(organisation);
    const account = this.#account(organisation);
    const limit = BUDGET_CONSTANT + BUDGET_RATIO * sum(account.first);
    if (sum(account.retries) + 1 > limit) return false;
    account.retries[bucket]!++;
    return true;
  }

  #account(organisation: string): Account {
    const known = this.#accounts.get(organisation);
    if (known !== undefined) return known;
    const account = {
      first: new Array<number>(BUCKETS).fill(0),
      retries: new Array<number>(BUCKETS).fill(0),
      bucket: this.#now(),
    };
    this.#accounts.set(organisation, account);
    return account;
  }

  #now(): number {
    return Math.floor(this.#clock.now() / BUCKET_MS);
  }

  // Clears the buckets that have left the window and returns the current one.
  #turn(organisation: string): number {
    const account = this.#account(organisation);
    const now = this.#now();
    const stale = Math.min(BUCKETS, now - account.bucket);
    for (let step = 1; step <= stale; step++) {
      const bucket = (account.bucket + step) % BUCKETS;
      account.first[bucket] = 0;
      account.retries[bucket] = 0;
    }
    account.bucket = now;
    return now % BUCKETS;
  }
}

interface Account {
  readonly first: number[];
  readonly retries: number[];
  bucket: number;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
