/** Initial and maximum delay before a link is reopened, in milliseconds. */
const FIRST_RECONNECT_DELAY_MS = 100;
const MAX_RECONNECT_DELAY_MS = 500;

/** Delays before a link is opened again, which grow with each failure. */
export class Reconnection {
  /** Links lost or not opened since one was last open. */
  #consecutiveFailures = 0;
  /** Time before which no link is opened, as of `performance.now()`. */
  #earliestAt = 0;

  /** Whether the last link was lost or could not be opened. */
  get hasFailed(): boolean {
    return this.#consecutiveFailures > 0;
  }

  /** Whether a link may be opened now. */
  get isDue(): boolean {
    return performance.now() >= this.#earliestAt;
  }

  /** Records that a link was opened. */
  succeed(): void {
    this.#consecutiveFailures = 0;
  }

  /** Ends the delay. */
  hurry(): void {
    this.#earliestAt = 0;
  }

  /**
   * Records that a link was lost or could not be opened.
   *
   * @param minDelayMs Delay at least, in milliseconds.
   */
  fail(minDelayMs = 0): void {
    this.#consecutiveFailures++;
    const delayMs = Math.min(
      MAX_RECONNECT_DELAY_MS,
      FIRST_RECONNECT_DELAY_MS *
        2 ** Math.min(this.#consecutiveFailures - 1, 10),
    );
    this.#earliestAt = performance.now() + Math.max(minDelayMs, delayMs);
  }
}
