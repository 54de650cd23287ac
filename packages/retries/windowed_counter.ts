/** Options of {@linkcode WindowedCounter}. */
export interface WindowedCounterOptions {
  /** Length of a bucket in milliseconds. */
  readonly bucketMs: number;
  /** Number of buckets that are kept, with the present one. */
  readonly kept: number;
  /** Monotonic time in milliseconds, 0 or above. */
  readonly now: () => number;
}

/** Counts events in buckets of time and forgets the old ones. */
export class WindowedCounter {
  readonly #options: WindowedCounterOptions;
  readonly #counts: Float64Array;
  #present: number;

  /** @param options Buckets and clock. */
  constructor(options: WindowedCounterOptions) {
    this.#options = options;
    this.#counts = new Float64Array(options.kept);
    this.#present = this.#bucketNow();
  }

  /** Number of the present bucket; that of the bucket before it is 1 less. */
  get present(): number {
    this.#turn();
    return this.#present;
  }

  /** Counts an event now. */
  add(): void {
    this.#counts[this.present % this.#options.kept]!++;
  }

  /** Takes back an event that was counted and has not come about. */
  remove(): void {
    this.#counts[this.present % this.#options.kept]!--;
  }

  /** Events of one bucket; 0 for a later one, or one that is not kept. */
  in(bucket: number): number {
    const { kept } = this.#options;
    const isKept = bucket <= this.#present && bucket > this.#present - kept;
    return isKept ? this.#counts[bucket % kept]! : 0;
  }

  /** Events of the last buckets, with the present one. */
  sumOfLast(buckets: number): number {
    const { present } = this;
    let sum = 0;
    for (let bucket = present - buckets + 1; bucket <= present; bucket++) {
      sum += this.in(bucket);
    }
    return sum;
  }

  // Buckets before the first one have numbers from 0 on.
  #bucketNow(): number {
    const { bucketMs, kept, now } = this.#options;
    return kept + Math.floor(now() / bucketMs);
  }

  // Clears the buckets that have come since the last use.
  #turn(): void {
    const { kept } = this.#options;
    const now = this.#bucketNow();
    const come = Math.min(kept, now - this.#present);
    for (let step = 0; step < come; step++) {
      this.#counts[(now - step) % kept] = 0;
    }
    this.#present = now;
  }
}
