/** Buckets that the window is divided into. */
const BUCKETS = 10;

/** Options of {@linkcode RetryAllowance}. */
export interface RetryAllowanceOptions {
  /** Repeats for each first attempt that this node may send, at present. */
  readonly ratio: () => number;
  /** Repeats in a window that need no first attempts, at present. */
  readonly constant: () => number;
  /** Length of the window in milliseconds. */
  readonly windowMs: number;
}

interface Bucket {
  index: number;
  first: number;
  repeats: number;
}

/**
 * Bounds the repeats that this node sends to each service to a share of its
 * first attempts. The shares of all nodes add up to the bound of the fleet, so
 * no counter needs to be shared.
 */
export class RetryAllowance {
  readonly #options: RetryAllowanceOptions;
  readonly #services = new Map<string, Bucket[]>();

  /** @param options Ratio, constant and window. */
  constructor(options: RetryAllowanceOptions) {
    this.#options = options;
  }

  /**
   * Counts a first attempt.
   *
   * @param service Service that is called.
   * @param isRepeat Whether a repeat further up led to it; it then uses up the
   * allowance as well.
   */
  countFirst(service: string, isRepeat: boolean): void {
    const bucket = this.#bucket(service);
    bucket.first++;
    if (isRepeat) bucket.repeats++;
  }

  /** Uses one repeat if the allowance has one left. */
  take(service: string): boolean {
    const bucket = this.#bucket(service);
    const oldest = bucket.index - BUCKETS;
    let first = 0;
    let repeats = 0;
    for (const entry of this.#services.get(service)!) {
      if (entry.index <= oldest) continue;
      first += entry.first;
      repeats += entry.repeats;
    }
    const { constant, ratio } = this.#options;
    if (repeats + 1 > constant() + ratio() * first) return false;
    bucket.repeats++;
    return true;
  }

  #bucket(service: string): Bucket {
    const index = Math.floor(
      performance.now() * BUCKETS / this.#options.windowMs,
    );
    let buckets = this.#services.get(service);
    if (buckets === undefined) {
      buckets = Array.from(
        { length: BUCKETS },
        () => ({ index: -BUCKETS, first: 0, repeats: 0 }),
      );
      this.#services.set(service, buckets);
    }
    const bucket = buckets[index % BUCKETS]!;
    if (bucket.index !== index) {
      bucket.index = index;
      bucket.first = 0;
      bucket.repeats = 0;
    }
    return bucket;
  }
}
