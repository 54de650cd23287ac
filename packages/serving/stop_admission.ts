/**
 * Factor by which an answer may take longer than the slowest recent one of its
 * route, when it has to be complete before the node has stopped.
 */
const SLOWEST_ANSWER_FACTOR = 2;

/**
 * The same factor for a call that a worker makes. It is smaller, since the refusal
 * of such a call fails the request that the worker runs.
 */
const SLOWEST_CALL_FACTOR = 1.2;

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
 * Decides which work a node accepts while it stops: what is expected to end before
 * it closes. Work that is refused may run elsewhere; a request that is cut off may
 * not, if it is not idempotent.
 */
export class StopAdmission {
  /** Slowest recent answer of each route, in milliseconds. */
  readonly #slowestAnswers = new Map<string, number>();
  #times: StopTimes | undefined;

  /** Begins to refuse work that comes too late. */
  startStop(times: StopTimes): void {
    this.#times = times;
  }

  /** Records how long an answer took, in milliseconds. */
  recordAnswer(route: string, elapsedMs: number): void {
    const known = this.#slowestAnswers.get(route) ?? 0;
    this.#slowestAnswers.set(route, Math.max(elapsedMs, known * FORGET_FACTOR));
  }

  /**
   * Returns whether a request that begins a chain is accepted.
   *
   * @param route Name of the route of the request.
   * @param deadline Time by which the caller needs the answer, as of
   * `performance.now()`.
   */
  acceptsRequest(route: string, deadline: number): boolean {
    if (this.#times === undefined) return true;
    return performance.now() <= this.#times.refusesAllAt &&
      this.acceptsAtWorker(route, deadline);
  }

  /**
   * Returns whether a call to the worker of the node is accepted.
   *
   * @param route Name of the route of the call.
   * @param deadline As for {@linkcode acceptsRequest}.
   */
  acceptsAtWorker(route: string, deadline: number): boolean {
    return this.#endsInTime(
      deadline,
      SLOWEST_ANSWER_FACTOR * (this.#slowestAnswers.get(route) ?? Infinity),
    );
  }

  /**
   * Returns whether a call that the worker of the node makes is accepted. One of
   * a route without an answer so far is, unless it comes late.
   *
   * @param route Name of the route of the call.
   * @param deadline As for {@linkcode acceptsRequest}.
   */
  acceptsFromWorker(route: string, deadline: number): boolean {
    const slowestMs = this.#slowestAnswers.get(route);
    if (slowestMs !== undefined) {
      return this.#endsInTime(deadline, SLOWEST_CALL_FACTOR * slowestMs);
    }
    const isEarly = performance.now() <= (this.#times?.refusesAllAt ?? 0);
    return this.#endsInTime(deadline, isEarly ? 0 : Infinity);
  }

  /**
   * Time after which a refused caller finds another node, in milliseconds.
   */
  get retryAfterMs(): number {
    const leaveAt = this.#times?.callersLeaveAt ?? 0;
    return Math.max(MIN_RETRY_AFTER_MS, leaveAt - performance.now());
  }

  #endsInTime(deadline: number, expectedMs: number): boolean {
    if (this.#times === undefined) return true;
    const { closesAt } = this.#times;
    return deadline <= closesAt || performance.now() + expectedMs <= closesAt;
  }
}
