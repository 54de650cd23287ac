import type { Clock } from "@oleanderdeck/settings";
import { WindowedCounter } from "./windowed_counter.ts";

/** Window over which first attempts and retries are counted, in milliseconds. */
export const BUDGET_WINDOW_MS = 10_000;

/** Retries allowed in the window per first attempt. */
export const BUDGET_RATIO = 0.1;

/** Retries allowed in the window regardless of first attempts. */
export const BUDGET_BASE_RETRIES = 10;

const WINDOW_BUCKETS = 10;
const BUCKET_MS = BUDGET_WINDOW_MS / WINDOW_BUCKETS;

/**
 * Limits the retries that this node sends for each organisation to a share of
 * the organisation's first attempts, so that a failing service does not multiply
 * its own load. The limit on the repeats that reach a worker is
 * {@linkcode RepeatBudget}.
 */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #counters = new Map<string, OrganisationCounters>();

  /** @param clock Monotonic clock. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Counts a first attempt of an organisation. */
  countFirstAttempt(organisation: string): void {
    this.#countersOf(organisation).firstAttempts.add();
  }

  /**
   * Uses one retry of an organisation's budget if one is available.
   *
   * @returns Whether a retry was available.
   */
  take(organisation: string): boolean {
    const { firstAttempts, retries } = this.#countersOf(organisation);
    const limit = BUDGET_BASE_RETRIES +
      BUDGET_RATIO * firstAttempts.sumOfLast(WINDOW_BUCKETS);
    if (retries.sumOfLast(WINDOW_BUCKETS) + 1 > limit) return false;
    retries.add();
    return true;
  }

  #countersOf(organisation: string): OrganisationCounters {
    const existing = this.#counters.get(organisation);
    if (existing !== undefined) return existing;
    const now = () => this.#clock.now();
    const options = {
      bucketMs: BUCKET_MS,
      retainedBuckets: WINDOW_BUCKETS,
      now,
    };
    const created = {
      firstAttempts: new WindowedCounter(options),
      retries: new WindowedCounter(options),
    };
    this.#counters.set(organisation, created);
    return created;
  }
}

interface OrganisationCounters {
  readonly firstAttempts: WindowedCounter;
  readonly retries: WindowedCounter;
}
