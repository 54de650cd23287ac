import type { Clock } from "@oleanderdeck/settings";
import { WindowedCounter } from "./windowed_counter.ts";

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
  countFirstAttempt(organisation: string): void {
    this.#accountOf(organisation).first.add();
  }

  /** Uses one retry of the budget, if there is one. */
  take(organisation: string): boolean {
    const { first, retries } = this.#accountOf(organisation);
    const limit = BUDGET_CONSTANT + BUDGET_RATIO * first.sumOfLast(BUCKETS);
    if (retries.sumOfLast(BUCKETS) + 1 > limit) return false;
    retries.add();
    return true;
  }

  #accountOf(organisation: string): Account {
    const known = this.#accounts.get(organisation);
    if (known !== undefined) return known;
    const now = () => this.#clock.now();
    const counts = { bucketMs: BUCKET_MS, kept: BUCKETS, now };
    const account = {
      first: new WindowedCounter(counts),
      retries: new WindowedCounter(counts),
    };
    this.#accounts.set(organisation, account);
    return account;
  }
}

interface Account {
  readonly first: WindowedCounter;
  readonly retries: WindowedCounter;
}
