/** Increase of the pressure in an interval in which all calls were refused. */
const RISE_WHEN_ALL_REFUSED = 0.15;

/** Additional increase in an interval in which calls would wait long. */
const RISE_WHEN_QUEUED = 0.02;

/** Wait that counts as long, as a share of the mean latency target. */
const LONG_WAIT_SHARE = 0.3;

/**
 * Factor by which the pressure decreases in an interval without overload while
 * most slots are in use.
 */
const DECAY_FACTOR_WHEN_BUSY = 0.95;

/** The same factor while enough slots are free. */
const DECAY_FACTOR_WHEN_FREE = 0.75;

/** Share of the slots in use below which enough slots are free. */
const FREE_UTILISATION_LIMIT = 0.7;

/** Pressure below which it is set to 0. */
const MIN_PRESSURE = 0.01;

/** Counts of the gate for one interval. */
export interface GateIntervalCounts {
  /** Calls that arrived. */
  readonly arrived: number;
  /** Calls that were refused because the wait for a slot was too long. */
  readonly refused: number;
  /** Calls at the worker at the end of the interval. */
  readonly running: number;
  /** Expected wait of a new call of the lowest priority, in milliseconds. */
  readonly waitMs: number;
  /** Mean latency target of the calls, in milliseconds. */
  readonly latencyTargetMs: number;
  /** Maximum number of calls that the worker runs at the same time. */
  readonly slots: number;
}

/**
 * Measures the pressure of the worker beside this node: its overload, from 0 to
 * 1. The pressure increases while calls are refused or would wait long, and
 * decays otherwise. Nodes at which call chains begin refuse the share of their
 * requests that it indicates, the least important ones first.
 */
export class OverloadMeter {
  #pressure = 0;

  /** Current pressure, 0 to 1. */
  get pressure(): number {
    return this.#pressure;
  }

  /** Updates the pressure by the counts of one interval. */
  update(interval: GateIntervalCounts): void {
    const { arrived, refused, running, slots } = interval;
    const isQueued =
      interval.waitMs > LONG_WAIT_SHARE * interval.latencyTargetMs;
    if (isQueued || refused > 0) {
      const refusedShare = Math.min(1, refused / Math.max(1, arrived));
      this.#pressure += RISE_WHEN_ALL_REFUSED * refusedShare +
        (isQueued ? RISE_WHEN_QUEUED : 0);
    } else {
      this.#pressure *= running < slots * FREE_UTILISATION_LIMIT
        ? DECAY_FACTOR_WHEN_FREE
        : DECAY_FACTOR_WHEN_BUSY;
    }
    if (this.#pressure > 1) this.#pressure = 1;
    if (this.#pressure < MIN_PRESSURE) this.#pressure = 0;
  }
}
