/** Weight of a window in the long-term duration. */
const LONG_TERM_WEIGHT = 0.02;

/** Least length of a window of durations. */
const WINDOW_MS = 500;

/** Least calls of a window. */
const LEAST_CALLS = 10;

/**
 * Durations up to twice the long-term one are taken for ordinary variation,
 * as in the gradient limits of Netflix's concurrency-limits.
 */
const TOLERANCE = 2;

/**
 * Least share of the slots. A worker whose durations grow because of a slow
 * service further down gains nothing from fewer slots, so the reduction is
 * bounded.
 */
const LEAST_SHARE = 0.5;

/** Share of the slots that is offered again per window. */
const RECOVERY_SHARE = 0.1;

/**
 * Part of a reduction by which durations must fall. Where fewer calls in
 * progress do not make calls faster, the slots are not what is overloaded.
 */
const LEAST_EFFECT = 0.3;

/** Windows after a reduction in which its effect must show. */
const EFFECT_WINDOWS = 4;

/** Windows without reductions after one had no effect: 30 s. */
const PAUSE_WINDOWS = 60;

/**
 * Adaptive concurrency limit by the gradient of durations: the share of the
 * slots that is offered falls when recent durations exceed the long-term
 * duration, and grows again by a fixed step.
 */
export class AdaptiveLimit {
  #share = 1;
  #longTermMs: number | undefined;
  /** Duration before the first of a series of reductions. */
  #durationBeforeMs = 0;
  #windowsReduced = 0;
  #pausedWindows = 0;
  #windowStart = 0;
  #windowCalls = 0;
  #windowTotalMs = 0;

  /** Forgets everything, for a new worker. */
  reset(): void {
    this.#share = 1;
    this.#longTermMs = undefined;
    this.#windowsReduced = 0;
    this.#pausedWindows = 0;
    this.#windowCalls = 0;
    this.#windowTotalMs = 0;
  }

  /**
   * Limit on calls in progress.
   *
   * @param slots Slots that the worker has.
   */
  limit(slots: number): number {
    return Math.max(1, slots * this.#share);
  }

  /**
   * Takes completed calls into account.
   *
   * @param meanDurationMs Mean duration of the calls.
   * @param calls Number of calls.
   * @param now Time on the node's clock.
   */
  record(meanDurationMs: number, calls: number, now: number): void {
    this.#windowCalls += calls;
    this.#windowTotalMs += meanDurationMs * calls;
    // With few calls a window lasts longer, so that a slow worker's limit
    // does not stay reduced for lack of calls.
    if (now - this.#windowStart < WINDOW_MS) return;
    if (this.#windowCalls < LEAST_CALLS) return;
    this.#endWindow(this.#windowTotalMs / this.#windowCalls);
    this.#windowStart = now;
    this.#windowCalls = 0;
    this.#windowTotalMs = 0;
  }

  #endWindow(recentMs: number): void {
    const longTermMs = this.#longTermMs ?? recentMs;
    this.#longTermMs = recentMs < longTermMs
      ? (recentMs + longTermMs) / 2
      : longTermMs + (recentMs - longTermMs) * LONG_TERM_WEIGHT;
    if (this.#pausedWindows > 0) {
      this.#pausedWindows -= 1;
      return;
    }
    const gradient = Math.min(
      1,
      TOLERANCE * longTermMs / Math.max(recentMs, 0.01),
    );
    if (gradient < 1 && this.#windowsReduced === 0) {
      this.#durationBeforeMs = recentMs;
    }
    this.#windowsReduced = gradient < 1 ? this.#windowsReduced + 1 : 0;
    if (this.#windowsReduced > EFFECT_WINDOWS && !this.#hasEffect(recentMs)) {
      this.#share = 1;
      this.#windowsReduced = 0;
      this.#pausedWindows = PAUSE_WINDOWS;
      return;
    }
    this.#share = Math.min(
      1,
      Math.max(LEAST_SHARE, this.#share * gradient + RECOVERY_SHARE * gradient),
    );
  }

  /** Whether durations fell with the share of the slots. */
  #hasEffect(recentMs: number): boolean {
    const reduction = 1 - this.#share;
    const fall = 1 - recentMs / this.#durationBeforeMs;
    return fall >= reduction * LEAST_EFFECT;
  }
}
