import { WindowedCounter } from "./windowed_counter.ts";

/** Number of buckets in a window; an even number. */
const WINDOW_BUCKETS = 40;
const HALF_WINDOW_BUCKETS = WINDOW_BUCKETS / 2;

/** Retained buckets: a window, the half window before it and the current bucket. */
const RETAINED_BUCKETS = WINDOW_BUCKETS + HALF_WINDOW_BUCKETS + 1;

/** Options of {@linkcode RepeatBudget}. */
export interface RepeatBudgetOptions {
  /** Returns the current number of repeats allowed for each request. */
  readonly ratio: () => number;
  /**
   * Returns the current number of repeats allowed in a window regardless of
   * requests.
   */
  readonly baseRepeats: () => number;
  /** Length of a window in milliseconds. */
  readonly windowMs: number;
  /** Returns monotonic time in milliseconds. */
  readonly now: () => number;
}

/**
 * Limits the repeats that reach a worker in every window of a given length,
 * wherever the window begins. A repeat is a request that is sent again to a
 * second worker, or a call that such an execution makes. The limit on the
 * retries that one node sends for an organisation is
 * {@linkcode RetryBudget}.
 *
 * For each window, a request counts one half if it lies within the window, and
 * one half if it lies within the window that begins half a window length
 * earlier. The weights are the same for each window and in each process. With
 * one budget in each of several processes, all their repeats in a window are
 * therefore at most the ratio times the requests of all processes in that
 * window or in the one half a length earlier, whichever has more, plus the sum
 * of their base repeats.
 */
export class RepeatBudget {
  readonly #options: RepeatBudgetOptions;
  readonly #requests: WindowedCounter;
  readonly #repeats: WindowedCounter;

  /** @param options Limits, window length and clock. */
  constructor(options: RepeatBudgetOptions) {
    this.#options = options;
    const { now, windowMs } = options;
    const counterOptions = {
      bucketMs: windowMs / WINDOW_BUCKETS,
      retainedBuckets: RETAINED_BUCKETS,
      now,
    };
    this.#requests = new WindowedCounter(counterOptions);
    this.#repeats = new WindowedCounter(counterOptions);
  }

  /** Counts a request that is not a repeat. */
  countRequest(): void {
    this.#requests.add();
  }

  /** Subtracts a request that was counted but not sent. */
  uncountRequest(): void {
    this.#requests.remove();
  }

  /**
   * Uses one repeat if one is available.
   *
   * @returns Whether a repeat was available.
   */
  take(): boolean {
    if (this.remaining < 1) return false;
    this.#repeats.add();
    return true;
  }

  /**
   * Unused share of the repeats allowed in the most recent complete window, 0
   * to 1. After a burst of repeats it may be above 0 although none is available
   * at the moment.
   */
  get unusedShare(): number {
    const used = this.#repeats.sumOfLast(WINDOW_BUCKETS + 1);
    if (used === 0) return 1;
    const { ratio, baseRepeats } = this.#options;
    const limit = baseRepeats() +
      ratio() * this.#requests.sumOfLast(WINDOW_BUCKETS);
    return limit > used ? 1 - used / limit : 0;
  }

  /** Number of repeats that may be sent now; below 1 if there are none. */
  get remaining(): number {
    const { ratio, baseRepeats } = this.#options;
    const requests = this.#requests;
    const currentBucket = this.#repeats.currentBucket;
    // A window may begin anywhere within its first bucket, so only requests in
    // buckets that lie completely within the window are counted.
    let inEarlierWindow = requests.sumOfLast(HALF_WINDOW_BUCKETS);
    let inWindow = 0;
    let repeats = 0;
    let lowest = Infinity;
    for (
      let start = currentBucket;
      start >= currentBucket - WINDOW_BUCKETS;
      start--
    ) {
      if (start < currentBucket) {
        inEarlierWindow += requests.countIn(start - HALF_WINDOW_BUCKETS + 1) -
          requests.countIn(start + HALF_WINDOW_BUCKETS);
        inWindow += requests.countIn(start + 1) -
          requests.countIn(start + WINDOW_BUCKETS);
      }
      repeats += this.#repeats.countIn(start);
      lowest = Math.min(
        lowest,
        ratio() * (inEarlierWindow + inWindow) / 2 - repeats,
      );
    }
    return baseRepeats() + lowest;
  }
}
