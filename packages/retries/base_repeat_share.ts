/** Options of {@linkcode BaseRepeatShare}. */
export interface BaseRepeatShareOptions {
  /** All base repeats of a service, at present. */
  readonly baseRepeats: () => number;
  /** Length of the spans that the base repeats are for, in milliseconds. */
  readonly windowMs: number;
  /** Time within which the other processes learn of this one, in milliseconds. */
  readonly propagationMs: number;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
}

interface Sample {
  readonly at: number;
  readonly processes: number;
}

/**
 * Part of the base repeats that one of several processes may use, such that all
 * parts used in a span add up to the base repeats at most while processes come,
 * go and restart. A process that has started uses none until the others have
 * known of it for a span, and what an earlier life of it has used is out of the
 * span. After processes have gone, the parts grow a span later.
 */
export class BaseRepeatShare {
  readonly #options: BaseRepeatShareOptions;
  readonly #startedAt: number;
  /** From the oldest; each holds until the next one. */
  #samples: readonly Sample[] = [];

  /** @param options Base repeats, times and clock. */
  constructor(options: BaseRepeatShareOptions) {
    this.#options = options;
    this.#startedAt = options.now();
  }

  /** Notes how many processes share the base repeats, this one included. */
  recordProcessCount(processes: number): void {
    const at = this.#options.now();
    const oldest = at - this.#options.windowMs;
    const isKept = (_: Sample, index: number) =>
      (this.#samples[index + 1]?.at ?? at) > oldest;
    this.#samples = [...this.#samples.filter(isKept), { at, processes }];
  }

  /** Part of this process at present. */
  get value(): number {
    const { baseRepeats, propagationMs, now, windowMs } = this.#options;
    if (now() - this.#startedAt < windowMs + propagationMs) return 0;
    const most = Math.max(...this.#samples.map(({ processes }) => processes));
    return most > 0 ? baseRepeats() / most : 0;
  }
}
