/** Weight of a new sample in the exponential moving averages. */
const SAMPLE_WEIGHT = 0.05;

/**
 * Mean latency target that is assumed before the first call, in milliseconds.
 */
const INITIAL_LATENCY_TARGET_MS = 1_000;

/**
 * Mean time for which a call holds a slot that is assumed before the first
 * sample, in milliseconds.
 */
const INITIAL_HOLD_MS = 50;

/** Moving averages of the calls to one worker. */
export class CallEstimates {
  #holdMs = INITIAL_HOLD_MS;
  #latencyTargetMs = INITIAL_LATENCY_TARGET_MS;
  #failureShare = 0;

  /** Mean time for which a call holds a slot, in milliseconds. */
  get holdMs(): number {
    return this.#holdMs;
  }

  /** Mean latency target of the calls, in milliseconds. */
  get latencyTargetMs(): number {
    return this.#latencyTargetMs;
  }

  /** Share of the calls that failed because of the worker, 0 to 1. */
  get failureShare(): number {
    return this.#failureShare;
  }

  /** Records the latency target of a call that arrived, in milliseconds. */
  recordLatencyTarget(latencyTargetMs: number): void {
    this.#latencyTargetMs += SAMPLE_WEIGHT *
      (latencyTargetMs - this.#latencyTargetMs);
  }

  /** Records how long an answered call held its slot, in milliseconds. */
  recordHold(heldMs: number): void {
    this.#holdMs += SAMPLE_WEIGHT * (heldMs - this.#holdMs);
  }

  /** Records whether a call failed because of the worker. */
  recordOutcome(hasFailed: boolean): void {
    this.#failureShare += SAMPLE_WEIGHT *
      ((hasFailed ? 1 : 0) - this.#failureShare);
  }
}
