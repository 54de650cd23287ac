/** Options of {@linkcode BaseRepeatShare}. */
export interface BaseRepeatShareOptions {
  /**
   * Returns the current base repeats of a service: the repeats allowed in a
   * window regardless of requests, for all its processes together.
   */
  readonly baseRepeats: () => number;
  /** Length of the window that the base repeats apply to, in milliseconds. */
  readonly windowMs: number;
  /**
   * Time within which the other processes receive notice that this one has
   * started, in milliseconds.
   */
  readonly propagationMs: number;
  /** Returns monotonic time in milliseconds. */
  readonly now: () => number;
}

interface ProcessCountSample {
  readonly at: number;
  readonly processes: number;
}

/**
 * Share of the base repeats that one of several processes may use. The shares
 * used in any window add up to at most the base repeats, even while processes
 * start, stop and restart.
 *
 * A process that has started uses none until the others have counted it for a
 * complete window; by then the repeats that it used before a restart lie outside
 * the window. After processes have stopped, the shares of the others grow one
 * window later.
 */
export class BaseRepeatShare {
  readonly #options: BaseRepeatShareOptions;
  readonly #startedAt: number;
  /** Oldest first; a sample applies until the next one is recorded. */
  #samples: readonly ProcessCountSample[] = [];

  /** @param options Base repeats, time limits and clock. */
  constructor(options: BaseRepeatShareOptions) {
    this.#options = options;
    this.#startedAt = options.now();
  }

  /**
   * Records the number of processes that share the base repeats.
   *
   * @param processes Number of processes, including this one.
   */
  recordProcessCount(processes: number): void {
    const at = this.#options.now();
    const oldest = at - this.#options.windowMs;
    const isRetained = (_: ProcessCountSample, index: number) =>
      (this.#samples[index + 1]?.at ?? at) > oldest;
    this.#samples = [...this.#samples.filter(isRetained), { at, processes }];
  }

  /** Number of repeats that this process may use in a window at present. */
  get value(): number {
    const { baseRepeats, propagationMs, now, windowMs } = this.#options;
    if (now() - this.#startedAt < windowMs + propagationMs) return 0;
    const maxProcesses = Math.max(
      ...this.#samples.map(({ processes }) => processes),
    );
    return maxProcesses > 0 ? baseRepeats() / maxProcesses : 0;
  }
}
