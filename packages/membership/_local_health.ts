/** Score of a node that is as unwell as it can be. */
export const MAX_HEALTH_SCORE = 8;

/** A timer that fires later than this was delayed by the node itself. */
export const TIMER_TOLERANCE_MS = 150;

const MILLISECONDS_PER_POINT = 500;

/**
 * Score of the node's own health, 0 when it is well. A node that was paused or
 * short of processor time gives its peers more time before it accuses them.
 */
export class LocalHealth {
  #score = 0;

  /** Current score, from 0 to 8. */
  get score(): number {
    return this.#score;
  }

  /** Factor for timeouts, from 1 to 9. */
  get multiplier(): number {
    return 1 + this.#score;
  }

  /**
   * Raises the score if a timer was late.
   *
   * @returns Whether it was late, so that its result must not be used.
   */
  checkTimer(expectedMs: number, elapsedMs: number): boolean {
    const lateMs = elapsedMs - expectedMs;
    if (lateMs <= TIMER_TOLERANCE_MS) return false;
    this.raise(1 + Math.floor(lateMs / MILLISECONDS_PER_POINT));
    return true;
  }

  /** Raises the score. */
  raise(points: number): void {
    this.#score = Math.min(MAX_HEALTH_SCORE, this.#score + points);
  }

  /** Lowers the score by one after a probe that went well. */
  recover(): void {
    this.#score = Math.max(0, this.#score - 1);
  }
}
