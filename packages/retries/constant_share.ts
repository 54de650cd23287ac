/** Options of {@linkcode ConstantShare}. */
export interface ConstantShareOptions {
  /** Whole constant of a service, at present. */
  readonly constant: () => number;
  /** Length of the spans that the constant is for, in milliseconds. */
  readonly windowMs: number;
  /** Time within which the other processes learn of this one, in milliseconds. */
  readonly noticeMs: number;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
}

interface Sample {
  readonly at: number;
  readonly processes: number;
}

/**
 * Part of a constant that one of several processes may use, such that all parts
 * used in a span add up to the constant at most while processes come, go and
 * restart. A process that has started uses none until the others have known of
 * it for a span, and what an earlier life of it has used is out of the span.
 * After processes have gone, the parts grow a span later.
 */
export class ConstantShare {
  readonly #options: ConstantShareOptions;
  readonly #startedAt: number;
  /** From the oldest; each holds until the next one. */
  #samples: readonly Sample[] = [];

  /** @param options Constant, times and clock. */
  constructor(options: ConstantShareOptions) {
    this.#options = options;
    this.#startedAt = options.now();
  }

  /** Notes how many processes share the constant, this one included. */
  note(processes: number): void {
    const at = this.#options.now();
    const oldest = at - this.#options.windowMs;
    const isKept = (_: Sample, index: number) =>
      (this.#samples[index + 1]?.at ?? at) > oldest;
    this.#samples = [...this.#samples.filter(isKept), { at, processes }];
  }

  /** Part of this process at present. */
  get value(): number {
    const { constant, noticeMs, now, windowMs } = this.#options;
    if (now() - this.#startedAt < windowMs + noticeMs) return 0;
    const most = Math.max(...this.#samples.map(({ processes }) => processes));
    return most > 0 ? constant() / most : 0;
  }
}
