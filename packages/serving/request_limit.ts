/** Limit as a worker names it: a decimal number without sign or exponent. */
const DECIMAL = /^\d+(\.\d+)?$/;

/**
 * Least number of requests a second that are sent to a worker. Only its answers
 * tell that a limit has ended, so a worker that takes none is still asked.
 */
const MIN_REQUESTS_PER_SECOND = 0.5;

/** Time by which calls may be ahead of the rate after a pause, in milliseconds. */
const MAX_AHEAD_MS = 250;

/**
 * Parses the limit that a worker names in an answer.
 *
 * @param text Value of the header.
 * @returns Requests a second; undefined if the value is not a number.
 */
export function parseRequestLimit(text: string): number | undefined {
  const limit = DECIMAL.test(text) ? Number(text) : Infinity;
  return Number.isFinite(limit) ? limit : undefined;
}

/** Spaces the calls to a worker so that they stay within its limit. */
export class RequestLimit {
  readonly #now: () => number;
  #perSecond: number | undefined;
  /** Time at which the next call is due by the rate. */
  #nextDueAt = -Infinity;

  /** @param now Returns the time of a steady clock, in milliseconds. */
  constructor(now: () => number) {
    this.#now = now;
  }

  /** Requests a second that the worker takes; undefined without a limit. */
  get perSecond(): number | undefined {
    return this.#perSecond;
  }

  /** Sets the requests a second that the worker takes. */
  set(perSecond: number | undefined): void {
    this.#perSecond = perSecond;
  }

  /** Counts a call that is sent. */
  countCall(): void {
    this.#nextDueAt = Math.max(this.#nextDueAt, this.#now()) +
      this.#intervalMs;
  }

  /**
   * Returns the time until a call may be sent, in milliseconds.
   *
   * @param callsAhead Number of calls that are sent before it.
   */
  waitMs(callsAhead: number): number {
    if (this.#perSecond === undefined) return 0;
    const now = this.#now();
    const dueAt = Math.max(this.#nextDueAt, now) +
      callsAhead * this.#intervalMs;
    return Math.max(0, dueAt - MAX_AHEAD_MS - now);
  }

  /**
   * Returns the number of slots that calls can occupy within the limit.
   *
   * @param slots Slots of the worker.
   * @param holdMs Mean time for which a call holds a slot, in milliseconds.
   */
  usableSlots(slots: number, holdMs: number): number {
    if (this.#perSecond === undefined) return slots;
    return Math.min(slots, Math.max(1, Math.ceil(holdMs / this.#intervalMs)));
  }

  get #intervalMs(): number {
    return this.#perSecond === undefined
      ? 0
      : 1_000 / Math.max(MIN_REQUESTS_PER_SECOND, this.#perSecond);
  }
}
