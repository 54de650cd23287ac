/**
 * Weight of a slower window in the moving average of the long-term duration.
 */
const LONG_TERM_WEIGHT = 0.02;

/** Minimum length of a window over which durations are averaged. */
const WINDOW_MS = 500;

/** Minimum number of calls in a window. */
const MIN_WINDOW_CALLS = 10;

/**
 * Ratio of the recent to the long-term duration up to which a difference counts
 * as ordinary variation, as in the gradient limits of Netflix's
 * concurrency-limits.
 */
const TOLERANCE = 2;

/**
 * Minimum share of the slots that is offered. A worker whose durations grow
 * because of a slow downstream service gains nothing from fewer slots, so the
 * reduction is bounded.
 */
const MIN_SHARE = 0.5;

/** Share of the slots that is added per window while the limit recovers. */
const RECOVERY_SHARE = 0.1;

/**
 * Minimum ratio of the fall in durations to the reduction of the share. If
 * fewer calls in progress do not make calls faster, the overload is elsewhere
 * and not in the worker's slots.
 */
const MIN_EFFECT = 0.3;

/** Windows with reductions after which durations must have fallen. */
const EFFECT_WINDOWS = 4;

/**
 * Windows without reductions after reductions had no effect; at least 30 s with
 * windows of 500 ms.
 */
const PAUSE_WINDOWS = 60;

/**
 * Adaptive concurrency limit that follows the gradient of call durations: the
 * offered share of the slots falls when recent durations exceed the long-term
 * duration by more than the tolerance, and otherwise grows by a fixed step.
 */
export class AdaptiveLimit {
  #share = 1;
  #longTermMs: number | undefined;
  /**
   * Mean duration of the window that began the current series of reductions.
   */
  #durationBeforeMs = 0;
  #windowsReduced = 0;
  #pausedWindows = 0;
  #windowStart = 0;
  #windowCalls = 0;
  #windowTotalMs = 0;

  /** Discards all measurements, for a new worker. */
  reset(): void {
    this.#share = 1;
    this.#longTermMs = undefined;
    this.#windowsReduced = 0;
    this.#pausedWindows = 0;
    this.#windowCalls = 0;
    this.#windowTotalMs = 0;
  }

  /**
   * Limit on calls in progress, at least 1; may be a fraction.
   *
   * @param slots Number of slots of the worker.
   */
  limit(slots: number): number {
    return Math.max(1, slots * this.#share);
  }

  /**
   * Records completed calls.
   *
   * @param meanDurationMs Mean duration of the calls in milliseconds.
   * @param calls Number of calls.
   * @param now Time on the node's clock in milliseconds.
   */
  record(meanDurationMs: number, calls: number, now: number): void {
    this.#windowCalls += calls;
    this.#windowTotalMs += meanDurationMs * calls;
    // With few calls a window lasts longer instead of being discarded, so that
    // a slow worker's limit does not stay reduced for lack of calls.
    if (now - this.#windowStart < WINDOW_MS) return;
    if (this.#windowCalls < MIN_WINDOW_CALLS) return;
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
      Math.max(MIN_SHARE, this.#share * gradient + RECOVERY_SHARE * gradient),
    );
  }

  /** Whether durations have fallen enough for the reduction of the share. */
  #hasEffect(recentMs: number): boolean {
    const reduction = 1 - this.#share;
    const fall = 1 - recentMs / this.#durationBeforeMs;
    return fall >= reduction * MIN_EFFECT;
  }
}
