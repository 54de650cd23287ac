/** Weight of a new duration in the moving averages. */
const DURATION_WEIGHT = 0.1;

/**
 * Time without a new duration after which the expected duration halves.
 * Otherwise, calls to a service that was once slow could be refused for ever,
 * since refused calls yield no new durations.
 */
const DURATION_HALF_LIFE_MS = 500;

/** Duration that is assumed before any call has ended. */
const UNKNOWN_DURATION_MS = 10;

/** Mean deviations above the mean within which nearly all calls end. */
const DEVIATIONS = 2;

/** Estimate of the duration of a service's calls. */
export class DurationEstimate {
  #meanMs = 0;
  #deviationMs = 0;
  #updatedAt = 0;

  /** Adds an observed duration in milliseconds. */
  record(durationMs: number, now: number): void {
    if (this.#meanMs > 0) {
      this.#deviationMs += DURATION_WEIGHT *
        (Math.abs(durationMs - this.#meanMs) - this.#deviationMs);
    }
    this.#meanMs = this.#meanMs === 0
      ? durationMs
      : this.#meanMs + (durationMs - this.#meanMs) * DURATION_WEIGHT;
    this.#updatedAt = now;
  }

  /** Returns the expected duration in milliseconds; 0 before the first call. */
  expectedMs(now: number): number {
    return this.#meanMs * this.#decayFactor(now);
  }

  /** Returns the duration in milliseconds within which nearly all calls end. */
  upperBoundMs(now: number): number {
    return (this.#meanMs + DEVIATIONS * this.#deviationMs) *
      this.#decayFactor(now);
  }

  #decayFactor(now: number): number {
    return 0.5 **
      Math.floor((now - this.#updatedAt) / DURATION_HALF_LIFE_MS);
  }
}

/** Weight of the latest call in the failure share of a worker. */
const FAILURE_WEIGHT = 0.1;

/** Time after which a failure share halves. */
const FAILURE_HALF_LIFE_MS = 1_000;

/** Share of a worker's recent calls that failed. */
export class FailureShare {
  #share = 0;
  #updatedAt = 0;

  /** Adds the outcome of a call. */
  record(failed: boolean, now: number): void {
    const share = this.value(now);
    this.#share = share + ((failed ? 1 : 0) - share) * FAILURE_WEIGHT;
    this.#updatedAt = now;
  }

  /** Returns the current share, 0 to 1. */
  value(now: number): number {
    if (this.#share < 0.001) return 0;
    return this.#share *
      0.5 ** ((now - this.#updatedAt) / FAILURE_HALF_LIFE_MS);
  }
}

/** Weight of the latest interval in a falling arrival rate. */
const RATE_WEIGHT = 0.3;

/** Rate below which calls are forwarded and no slot is leased for them. */
const INFREQUENT_PER_SECOND = 1;

/** Arrival rate of one priority and organisation. */
interface ArrivalRate {
  readonly priority: number;
  readonly organisation: string;
  /** Arrivals since the last update. */
  arrived: number;
  /** Rate as of the last update. */
  perSecond: number;
}

/** Estimate of the slots that arriving calls need, by Little's law. */
export class DemandEstimate {
  readonly #rates = new Map<string, ArrivalRate>();
  #updatedAt = 0;

  /** Counts the arrival of a call that is not refused. */
  record(priority: number, organisation: string): void {
    const key = `${priority} ${organisation}`;
    const rate = this.#rates.get(key);
    if (rate === undefined) {
      this.#rates.set(key, {
        priority,
        organisation,
        arrived: 1,
        perSecond: 0,
      });
    } else rate.arrived += 1;
  }

  /** Updates the rates, at most once per second. */
  update(now: number): void {
    const elapsed = now - this.#updatedAt;
    if (elapsed < 1_000) return;
    this.#updatedAt = now;
    for (const [key, rate] of this.#rates) {
      const recent = rate.arrived * 1_000 / Math.max(1_000, elapsed);
      // A rising rate needs slots at once; a falling one may be smoothed.
      rate.perSecond = recent > rate.perSecond
        ? recent
        : rate.perSecond + (recent - rate.perSecond) * RATE_WEIGHT;
      rate.arrived = 0;
      if (rate.perSecond < 0.1) this.#rates.delete(key);
    }
  }

  /**
   * Calls `visit` with the slots needed by each priority and organisation.
   *
   * @param durationMs Expected duration of a call; 0 if unknown.
   * @param visit Called for each rate that is high enough for a lease.
   */
  forEach(
    durationMs: number,
    visit: (priority: number, organisation: string, slots: number) => void,
  ): void {
    for (const rate of this.#rates.values()) {
      const perSecond = Math.max(rate.perSecond, rate.arrived);
      if (perSecond < INFREQUENT_PER_SECOND) continue;
      visit(
        rate.priority,
        rate.organisation,
        perSecond * (durationMs || UNKNOWN_DURATION_MS) / 1_000,
      );
    }
  }
}
