/** Options of {@linkcode DecayingRate}. */
export interface DecayingRateOptions {
  /** Time constant of the average, in milliseconds. */
  readonly timeConstantMs: number;
  /**
   * Time after the start for which the average is taken over this time, in
   * milliseconds.
   */
  readonly firstMs: number;
  /** Time of a steady clock at the start, in milliseconds. */
  readonly now: number;
}

/** Exponentially weighted average of a rate of events. */
export class DecayingRate {
  readonly #options: DecayingRateOptions;
  #count = 0;
  #countedAt: number;

  /** @param options Time constant and start. */
  constructor(options: DecayingRateOptions) {
    this.#options = options;
    this.#countedAt = options.now;
  }

  /** Returns the rate in events a second. */
  at(now: number): number {
    const { firstMs, now: startedAt, timeConstantMs } = this.#options;
    const ageMs = Math.max(firstMs, now - startedAt);
    const coveredMs = timeConstantMs * -Math.expm1(-ageMs / timeConstantMs);
    return this.#countAt(now) * 1_000 / coveredMs;
  }

  /** Counts events, or a fraction of one. */
  add(events: number, now: number): void {
    this.#count = this.#countAt(now) + events;
    this.#countedAt = now;
  }

  #countAt(now: number): number {
    const elapsedMs = Math.max(0, now - this.#countedAt);
    return this.#count * Math.exp(-elapsedMs / this.#options.timeConstantMs);
  }
}
