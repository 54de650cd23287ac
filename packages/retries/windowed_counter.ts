/** Options of {@linkcode WindowedCounter}. */
export interface WindowedCounterOptions {
  /** Length of a bucket in milliseconds. */
  readonly bucketMs: number;
  /** Number of buckets that are retained, including the current one. */
  readonly retainedBuckets: number;
  /** Monotonic time in milliseconds, 0 or above. */
  readonly now: () => number;
}

/** Counts events in time buckets and discards the counts of old buckets. */
export class WindowedCounter {
  readonly #options: WindowedCounterOptions;
  readonly #counts: Float64Array;
  #currentBucket: number;

  /** @param options Bucket length, number of buckets and clock. */
  constructor(options: WindowedCounterOptions) {
    this.#options = options;
    this.#counts = new Float64Array(options.retainedBuckets);
    this.#currentBucket = this.#bucketNow();
  }

  /** Number of the current bucket; consecutive buckets have consecutive numbers. */
  get currentBucket(): number {
    this.#advance();
    return this.#currentBucket;
  }

  /** Counts an event in the current bucket. */
  add(): void {
    this.#counts[this.currentBucket % this.#options.retainedBuckets]!++;
  }

  /**
   * Subtracts an event that was counted but did not happen. The current bucket
   * is reduced, even if the event was counted in an earlier one.
   */
  remove(): void {
    this.#counts[this.currentBucket % this.#options.retainedBuckets]!--;
  }

  /**
   * Returns the number of events in a bucket; 0 for a bucket in the future or
   * one that is no longer retained.
   */
  countIn(bucket: number): number {
    const { retainedBuckets } = this.#options;
    const isRetained = bucket <= this.#currentBucket &&
      bucket > this.#currentBucket - retainedBuckets;
    return isRetained ? this.#counts[bucket % retainedBuckets]! : 0;
  }

  /**
   * Returns the number of events in the most recent buckets.
   *
   * @param buckets Number of buckets, including the current one.
   */
  sumOfLast(buckets: number): number {
    const { currentBucket } = this;
    let sum = 0;
    for (
      let bucket = currentBucket - buckets + 1;
      bucket <= currentBucket;
      bucket++
    ) {
      sum += this.countIn(bucket);
    }
    return sum;
  }

  // The offset keeps the numbers of buckets before the first one at 0 or above,
  // so that they are valid array indices.
  #bucketNow(): number {
    const { bucketMs, retainedBuckets, now } = this.#options;
    return retainedBuckets + Math.floor(now() / bucketMs);
  }

  // Clears the buckets that have begun since the last call.
  #advance(): void {
    const { retainedBuckets } = this.#options;
    const now = this.#bucketNow();
    const elapsed = Math.min(retainedBuckets, now - this.#currentBucket);
    for (let step = 0; step < elapsed; step++) {
      this.#counts[(now - step) % retainedBuckets] = 0;
    }
    this.#currentBucket = now;
  }
}
