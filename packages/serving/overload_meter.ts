/** Rise of the pressure when all calls of an interval were refused. */
const RISE_WHEN_ALL_REFUSED = 0.15;

/** Rise while calls wait long. */
const RISE_WHEN_QUEUED = 0.02;

/** Share of the latency target of the calls that counts as a long wait. */
const LONG_WAIT_SHARE = 0.3;

/** Part of the pressure that remains after an interval without overload. */
const REMAINDER_WHEN_BUSY = 0.95;
const REMAINDER_WHEN_FREE = 0.75;

/** Used share of the slots below which the worker counts as free. */
const FREE_BELOW = 0.7;

/** Pressure below which there is none. */
const NO_PRESSURE = 0.01;

/** What the gate counted since the last interval. */
export interface GateInterval {
  /** Calls that arrived. */
  readonly arrived: number;
  /** Calls that were refused for want of a slot. */
  readonly refused: number;
  /** Calls at the worker now. */
  readonly running: number;
  /** Expected time for which a new call waits, in milliseconds. */
  readonly waitMs: number;
  /** Mean latency target of the calls, in milliseconds. */
  readonly latencyTargetMs: number;
  /** Calls that the worker may run at the same time. */
  readonly slots: number;
}

/**
 * Overload of the own worker, 0 to 1: rises while calls are refused and falls
 * by itself. Callers that begin chains refuse the share of their requests that
 * it stands for, the least important ones first.
 */
export class OverloadMeter {
  #pressure = 0;

  /** Overload of the own worker, 0 to 1. */
  get pressure(): number {
    return this.#pressure;
  }

  /** Takes the counts of one interval. */
  update(interval: GateInterval): void {
    const { arrived, refused, running, slots } = interval;
    const isQueued =
      interval.waitMs > LONG_WAIT_SHARE * interval.latencyTargetMs;
    if (isQueued || refused > 0) {
      const share = Math.min(1, refused / Math.max(1, arrived));
      this.#pressure += RISE_WHEN_ALL_REFUSED * share +
        (isQueued ? RISE_WHEN_QUEUED : 0);
    } else {
      this.#pressure *= running < slots * FREE_BELOW
        ? REMAINDER_WHEN_FREE
        : REMAINDER_WHEN_BUSY;
    }
    if (this.#pressure > 1) this.#pressure = 1;
    if (this.#pressure < NO_PRESSURE) this.#pressure = 0;
  }
}
