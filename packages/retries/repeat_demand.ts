import { WindowedCounter } from "./windowed_counter.ts";

/** Number of buckets of the counters. */
const BUCKETS = 10;

/** Options of {@linkcode RepeatDemand}. */
export interface RepeatDemandOptions {
  /** Time for which a repeat counts as demand, in milliseconds. */
  readonly windowMs: number;
  /** Returns monotonic time in milliseconds. */
  readonly now: () => number;
}

/**
 * Counts the repeats that were asked for recently, by priority, so that a scarce
 * budget of repeats can be kept for the more important ones. It answers a load
 * in which all workers of a service reject part of their calls, and more repeats
 * are wanted than the limit allows.
 */
export class RepeatDemand {
  readonly #options: RepeatDemandOptions;
  readonly #counters = new Map<number, WindowedCounter>();

  /** @param options Window and clock. */
  constructor(options: RepeatDemandOptions) {
    this.#options = options;
  }

  /**
   * Records a repeat that was asked for, whether it is sent or not.
   *
   * @param priority Priority of the request; 0 is the most important.
   */
  record(priority: number): void {
    let counter = this.#counters.get(priority);
    if (counter === undefined) {
      const { now, windowMs } = this.#options;
      counter = new WindowedCounter({
        bucketMs: windowMs / BUCKETS,
        retainedBuckets: BUCKETS,
        now,
      });
      this.#counters.set(priority, counter);
    }
    counter.add();
  }

  /**
   * Returns the number of recent repeats with a more important priority.
   *
   * @param priority Priority of the request; 0 is the most important.
   */
  moreImportantThan(priority: number): number {
    return [...this.#counters]
      .filter(([other]) => other < priority)
      .reduce((sum, [, counter]) => sum + counter.sumOfLast(BUCKETS), 0);
  }
}
