/** Highest (worst) health score. */
export const MAX_HEALTH_SCORE = 8;

/** Delay of a timer above which the node itself counts as slow. */
export const TIMER_TOLERANCE_MS = 150;

/** Delay of a timer that adds one further point to the score. */
const MILLISECONDS_PER_POINT = 500;

/**
 * Score of the node's own health, 0 when it is healthy. A node that was paused or
 * lacks processor time waits longer for its peers before it suspects them.
 */
export class LocalHealth {
  #score = 0;

  /** Current score, from 0 to 8. */
  get score(): number {
    return this.#score;
  }

  /** Factor by which timeouts are extended, from 1 to 9. */
  get multiplier(): number {
    return 1 + this.#score;
  }

  /**
   * Raises the score if a timer fired late.
   *
   * @returns Whether it was late; a timeout that it measured must then be ignored.
   */
  checkTimer(expectedMs: number, elapsedMs: number): boolean {
    const lateMs = elapsedMs - expectedMs;
    if (lateMs <= TIMER_TOLERANCE_MS) return false;
    this.raise(1 + Math.floor(lateMs / MILLISECONDS_PER_POINT));
    return true;
  }

  /** Raises the score, up to {@linkcode MAX_HEALTH_SCORE}. */
  raise(points: number): void {
    this.#score = Math.min(MAX_HEALTH_SCORE, this.#score + points);
  }

  /** Lowers the score by one after a successful probe. */
  recover(): void {
    this.#score = Math.max(0, this.#score - 1);
  }
}
