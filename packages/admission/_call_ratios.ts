/** Factor by which counts decay per second, a window of about 10 s. */
const DECAY = 0.9;

/** Minimum calls served by the own worker for ratios to be meaningful. */
const MIN_SERVED_CALLS = 5;

/** Downstream calls per served call above which the pressure propagates. */
const PRESSURE_RATIO = 0.5;

/**
 * Measures how many calls the own worker makes to each service per call that it
 * serves.
 */
export class CallRatios {
  readonly #downstream = new Map<string, number>();
  #served = 0;
  #decayedAt = 0;

  /** Counts calls that the own worker serves. */
  recordServed(calls: number): void {
    this.#served += calls;
  }

  /** Counts a call that the own worker makes to a service. */
  recordCall(service: string): void {
    this.#downstream.set(service, (this.#downstream.get(service) ?? 0) + 1);
  }

  /**
   * Returns the services whose pressure propagates to the own worker's service,
   * because it calls them often enough.
   */
  pressureSources(now: number): string[] {
    this.#decay(now);
    if (this.#served < MIN_SERVED_CALLS) return [];
    return [...this.#downstream]
      .filter(([, calls]) => calls / this.#served > PRESSURE_RATIO)
      .map(([service]) => service);
  }

  #decay(now: number): void {
    const seconds = Math.floor((now - this.#decayedAt) / 1_000);
    if (seconds < 1) return;
    this.#decayedAt = now;
    const factor = DECAY ** seconds;
    this.#served *= factor;
    for (const [service, calls] of this.#downstream) {
      if (calls * factor < 0.1) this.#downstream.delete(service);
      else this.#downstream.set(service, calls * factor);
    }
  }
}
