import type { Route } from "@oleanderdeck/directory";

/**
 * Factor by which an answer may take longer than the slowest recent one of its
 * route, when it has to be complete before the node has stopped.
 */
const SLOWEST_ANSWER_FACTOR = 2;

/** Factor by which the slowest recent answer is forgotten with each further one. */
const FORGET_FACTOR = 0.99;

/** Minimum retry delay for callers that are refused, in milliseconds. */
const MIN_RETRY_AFTER_MS = 300;

/** Times of a stop, as of `performance.now()`. */
export interface StopTimes {
  /** Time by which callers have noticed the stop and use other nodes. */
  readonly callersLeaveAt: number;
  /** Time after which no request that begins a chain is accepted. */
  readonly refusesAllAt: number;
  /** Time at which requests without an answer are cut off. */
  readonly closesAt: number;
}

/**
 * Decides which requests a node accepts while it stops: those whose answer is
 * expected before it closes. A request that is refused may run elsewhere; one
 * that is cut off may not, if it is not idempotent.
 */
export class StopAdmission {
  /** Slowest recent answer of each route, in milliseconds. */
  readonly #slowestAnswers = new Map<string, number>();
  #times: StopTimes | undefined;

  /** Begins to refuse requests that come too late. */
  startStop(times: StopTimes): void {
    this.#times = times;
  }

  /** Records how long an answer took, in milliseconds. */
  recordAnswer(route: string, elapsedMs: number): void {
    const known = this.#slowestAnswers.get(route) ?? 0;
    this.#slowestAnswers.set(route, Math.max(elapsedMs, known * FORGET_FACTOR));
  }

  /**
   * Returns whether a request is accepted.
   *
   * @param route Route of the request.
   * @param deadline Time by which the caller needs the answer, as of
   * `performance.now()`.
   */
  accepts({ name }: Route, deadline: number): boolean {
    if (this.#times === undefined) return true;
    const now = performance.now();
    const { closesAt, refusesAllAt } = this.#times;
    if (now > refusesAllAt) return false;
    if (deadline <= closesAt) return true;
    const slowestMs = this.#slowestAnswers.get(name) ?? Infinity;
    return now + SLOWEST_ANSWER_FACTOR * slowestMs <= closesAt;
  }

  /**
   * Time after which a refused caller finds another node, in milliseconds.
   */
  get retryAfterMs(): number {
    const leaveAt = this.#times?.callersLeaveAt ?? 0;
    return Math.max(MIN_RETRY_AFTER_MS, leaveAt - performance.now());
  }
}
