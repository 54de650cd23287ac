/**
 * Share of its slots that a worker has shown that it can use, 0 to 1.
 *
 * It answers the load of a worker that has started: it is slow for some seconds,
 * and the nodes of all callers see its free slots at once. The pace is kept where
 * all calls to the worker pass, so that it grows with the answers to all callers
 * and reaches all of them with the load reports, however few calls each makes.
 *
 * @module
 */

/** Pace of a worker without answers so far. */
const INITIAL_PACE = 1 / 8;

/** Slots that a worker can use in any case, so that it shows what it can do. */
const MIN_SLOTS = 2;

/** Good answers that make up for one failure. */
const FAILURE_COST = 2;

/**
 * Pace of one incarnation of a worker. Each good answer allows one call more at
 * the same time, which doubles the pace within the time of a call; failures take
 * it back.
 */
export class StartPace {
  /** Slots beyond the initial ones. */
  #earnedSlots = 0;

  /**
   * Returns the pace, 0 to 1.
   *
   * @param slots Slots of the worker.
   */
  value(slots: number): number {
    return slots === 0
      ? 1
      : Math.min(1, (initialSlots(slots) + this.#earnedSlots) / slots);
  }

  /**
   * Records an answer or a failure.
   *
   * @param isFailure Whether the call failed because of the worker.
   * @param slots Slots of the worker.
   */
  record(isFailure: boolean, slots: number): void {
    const change = isFailure ? -FAILURE_COST : 1;
    const limit = Math.max(0, slots - initialSlots(slots));
    this.#earnedSlots = Math.max(
      0,
      Math.min(limit, this.#earnedSlots + change),
    );
  }

  /** Begins again for a new incarnation. */
  reset(): void {
    this.#earnedSlots = 0;
  }
}

function initialSlots(slots: number): number {
  return Math.max(MIN_SLOTS, slots * INITIAL_PACE);
}
