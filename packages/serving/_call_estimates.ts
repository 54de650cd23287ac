import { StartPace } from "./start_pace.ts";

/** Weight of a new sample in the exponential moving averages. */
const SAMPLE_WEIGHT = 0.05;

/**
 * Least weight of a new hold time. The first ones weigh more, so that a worker is
 * judged by its own answers soon. A mean of fewer answers follows the mix of
 * short and long calls, and the calls of all nodes follow it to the worker that
 * had more short ones.
 */
const HOLD_WEIGHT = 0.02;

/**
 * Time in which answers replace the mean of earlier ones where they are few, in
 * milliseconds, and the greatest weight that a single one then gets.
 */
const RENEWAL_MS = 500;
const MAX_RENEWAL_WEIGHT = 0.2;

/**
 * Mean latency target that is assumed before the first call, in milliseconds.
 */
const INITIAL_LATENCY_TARGET_MS = 1_000;

/**
 * Mean time for which a call holds a slot that is assumed before the first
 * sample, in milliseconds.
 */
const INITIAL_HOLD_MS = 50;

/** Time without a call for which the failure share is kept, in milliseconds. */
const FAILURE_HOLD_MS = 500;

/**
 * Time without a call in which the failure share halves, in milliseconds.
 * Callers avoid a worker that fails, so that only time shows that the cause, such
 * as an outage of a service that it calls, may have ended.
 */
const FAILURE_HALF_LIFE_MS = 5_000;

/** Outcome of a call at the worker. */
export interface CallOutcome {
  /** Whether the call failed because of the worker. */
  readonly isFailure: boolean;
  /**
   * Time for which the call held its slot, in milliseconds; undefined if there
   * was no answer.
   */
  readonly heldMs: number | undefined;
  /** Time of the outcome, in milliseconds of a monotonic clock. */
  readonly now: number;
}

/** Moving averages of the calls to one incarnation of a worker. */
export class CallEstimates {
  #holdMs = INITIAL_HOLD_MS;
  #latencyTargetMs = INITIAL_LATENCY_TARGET_MS;
  #failureShare = 0;
  #answers = 0;
  #outcomeAt = 0;
  readonly #pace = new StartPace();

  /** Mean time for which a call holds a slot, in milliseconds. */
  get holdMs(): number {
    return this.#holdMs;
  }

  /** Mean latency target of the calls, in milliseconds. */
  get latencyTargetMs(): number {
    return this.#latencyTargetMs;
  }

  /**
   * Returns the share of the calls that failed because of the worker, 0 to 1.
   *
   * @param now Time of a steady clock, in milliseconds.
   */
  failureShareAt(now: number): number {
    const sinceOutcomeMs = now - this.#outcomeAt;
    const idleMs = Math.max(0, sinceOutcomeMs - FAILURE_HOLD_MS);
    return this.#failureShare * 0.5 ** (idleMs / FAILURE_HALF_LIFE_MS);
  }

  /**
   * Returns the share of its slots that the worker has shown that it can use; see
   * {@linkcode StartPace}.
   *
   * @param slots Slots of the worker.
   */
  pace(slots: number): number {
    return this.#pace.value(slots);
  }

  /** Records the latency target of a call that arrived, in milliseconds. */
  recordLatencyTarget(latencyTargetMs: number): void {
    this.#latencyTargetMs += SAMPLE_WEIGHT *
      (latencyTargetMs - this.#latencyTargetMs);
  }

  /**
   * Records the outcome of a call.
   *
   * @param outcome Outcome of a call that the worker is answerable for.
   * @param slots Slots of the worker.
   */
  recordOutcome({ heldMs, isFailure, now }: CallOutcome, slots: number): void {
    const renewal = Math.min(
      MAX_RENEWAL_WEIGHT,
      (now - this.#outcomeAt) / RENEWAL_MS,
    );
    this.#failureShare = this.failureShareAt(now);
    this.#outcomeAt = now;
    this.#failureShare += SAMPLE_WEIGHT *
      ((isFailure ? 1 : 0) - this.#failureShare);
    this.#pace.record(isFailure, slots);
    // A worker that fails at once is not fast.
    if (heldMs === undefined || isFailure && heldMs < this.#holdMs) return;
    this.#answers++;
    const weight = Math.max(HOLD_WEIGHT, renewal, 1 / (this.#answers + 1));
    this.#holdMs += weight * (heldMs - this.#holdMs);
  }

  /** Forgets what was recorded of an earlier incarnation of the worker. */
  reset(): void {
    this.#holdMs = INITIAL_HOLD_MS;
    this.#failureShare = 0;
    this.#answers = 0;
    this.#pace.reset();
  }
}
