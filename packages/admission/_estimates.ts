/** Weight of a new duration in the mean. */
const DURATION_WEIGHT = 0.1;

/**
 * Time without an answer after which the expected duration halves. Without it,
 * a service that was slow once would be refused for ever as too slow, since
 * refused calls bring no new durations.
 */
const DURATION_HALF_LIFE_MS = 500;

/** Expected duration before any call has ended. */
const UNKNOWN_DURATION_MS = 10;

/** Deviations above the mean within which nearly all calls end. */
const DEVIATIONS = 2;

/** Expected duration of a service's calls. */
export class DurationEstimate {
  #meanMs = 0;
  #deviationMs = 0;
  #updatedAt = 0;

  /** Takes an observed duration into account. */
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

  /** Expected duration; 0 when nothing is known. */
  expectedMs(now: number): number {
    return this.#meanMs * this.#decayFactor(now);
  }

  /** Duration within which nearly all calls end. */
  upperBoundMs(now: number): number {
    return (this.#meanMs + DEVIATIONS * this.#deviationMs) *
      this.#decayFactor(now);
  }

  #decayFactor(now: number): number {
    return 0.5 **
      Math.floor((now - this.#updatedAt) / DURATION_HALF_LIFE_MS);
  }
}

/** Weight of a call in the failure share of a worker. */
const FAILURE_WEIGHT = 0.1;

/** Time after which half of a failure share is forgotten. */
const FAILURE_HALF_LIFE_MS = 1_000;

/** Share of a worker's recent calls that failed. */
export class FailureShare {
  #share = 0;
  #updatedAt = 0;

  /** Takes the end of a call into account. */
  record(failed: boolean, now: number): void {
    const share = this.value(now);
    this.#share = share + ((failed ? 1 : 0) - share) * FAILURE_WEIGHT;
    this.#updatedAt = now;
  }

  /** Share now, 0 to 1. */
  value(now: number): number {
    if (this.#share < 0.001) return 0;
    return this.#share *
      0.5 ** ((now - this.#updatedAt) / FAILURE_HALF_LIFE_MS);
  }
}

/** Weight of a second in the rate of arrivals. */
const RATE_WEIGHT = 0.3;

/** Rate below which a call is forwarded instead of a slot being leased. */
const INFREQUENT_PER_SECOND = 1;

interface ArrivalRate {
  readonly priority: number;
  readonly organisation: string;
  arrived: number;
  perSecond: number;
}

/** Slots that a service needs for the calls that arrive, by Little's law. */
export class DemandEstimate {
  readonly #rates = new Map<string, ArrivalRate>();
  #updatedAt = 0;

  /** Counts an arrival that was not refused. */
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

  /** Updates the rates; has an effect once per second. */
  update(now: number): void {
    const elapsed = now - this.#updatedAt;
    if (elapsed < 1_000) return;
    this.#updatedAt = now;
    for (const [key, rate] of this.#rates) {
      const recent = rate.arrived * 1_000 / Math.max(1_000, elapsed);
      // A growing rate needs its slots at once; a falling one can wait.
      rate.perSecond = recent > rate.perSecond
        ? recent
        : rate.perSecond + (recent - rate.perSecond) * RATE_WEIGHT;
      rate.arrived = 0;
      if (rate.perSecond < 0.1) this.#rates.delete(key);
    }
  }

  /** Calls `visit` with the expected calls in progress. */
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
