import { WindowedCounter } from "./windowed_counter.ts";

/** Buckets that a span is divided into; an even number. */
const BUCKETS = 40;
const HALF = BUCKETS / 2;

/** Buckets that are kept: a span, half of one before it, and the present one. */
const KEPT = BUCKETS + HALF + 1;

/** Options of {@linkcode RepeatBudget}. */
export interface RepeatBudgetOptions {
  /** Repeats for each request, at present. */
  readonly ratio: () => number;
  /** Repeats in a span that need no requests, at present. */
  readonly baseRepeats: () => number;
  /** Length of the spans in milliseconds. */
  readonly windowMs: number;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
}

/**
 * Bounds repeats in every span of a length by the requests around it. For a
 * span, a request counts half if the span holds it, and half if the span of the
 * same length that begins half a length earlier does. The weights are the same
 * for each span and in each process. So where several processes keep a budget
 * each, all their repeats in a span are at most the ratio of all requests in
 * that span or in the one half a length before it, whichever has more, and the
 * sum of the base repeats.
 */
export class RepeatBudget {
  readonly #options: RepeatBudgetOptions;
  readonly #first: WindowedCounter;
  readonly #repeats: WindowedCounter;

  /** @param options Bound and clock. */
  constructor(options: RepeatBudgetOptions) {
    this.#options = options;
    const { now, windowMs } = options;
    const counts = { bucketMs: windowMs / BUCKETS, kept: KEPT, now };
    this.#first = new WindowedCounter(counts);
    this.#repeats = new WindowedCounter(counts);
  }

  /** Counts a request. */
  countRequest(): void {
    this.#first.add();
  }

  /** Takes back a request that was counted and not sent. */
  uncountRequest(): void {
    this.#first.remove();
  }

  /** Uses one repeat, if one is left. */
  take(): boolean {
    if (this.remaining < 1) return false;
    this.#repeats.add();
    return true;
  }

  /**
   * Part of the repeats of the last whole span that was not used, 0 to 1. It may
   * be above 0 while no repeat is left at the moment, since too many came at
   * once.
   */
  get unusedShare(): number {
    const used = this.#repeats.sumOfLast(BUCKETS + 1);
    if (used === 0) return 1;
    const { ratio, baseRepeats } = this.#options;
    const limit = baseRepeats() + ratio() * this.#first.sumOfLast(BUCKETS);
    return limit > used ? 1 - used / limit : 0;
  }

  /** Repeats that may be sent now; below 1 if there are none. */
  get remaining(): number {
    const { ratio, baseRepeats } = this.#options;
    const first = this.#first;
    const last = this.#repeats.present;
    // A span may begin anywhere in its first bucket; requests count only in
    // buckets that lie within it all the same.
    let around = first.sumOfLast(HALF);
    let within = 0;
    let repeats = 0;
    let least = Infinity;
    for (let start = last; start >= last - BUCKETS; start--) {
      if (start < last) {
        around += first.in(start - HALF + 1) - first.in(start + HALF);
        within += first.in(start + 1) - first.in(start + BUCKETS);
      }
      repeats += this.#repeats.in(start);
      least = Math.min(least, ratio() * (around + within) / 2 - repeats);
    }
    return baseRepeats() + least;
  }
}
