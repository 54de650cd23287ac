/** Decay of counts per second; the window is about ten seconds. */
const DECAY = 0.9;

/** Calls of the own worker's service that are needed to know a ratio. */
const MIN_SERVED_CALLS = 5;

/** Ratio above which the pressure of a downstream service applies. */
const PRESSURE_RATIO = 0.5;

/** Learns how many calls to each service one call of the own worker makes. */
export class CallRatios {
  readonly #downstream = new Map<string, number>();
  #served = 0;
  #decayedAt = 0;

  /** Counts calls that the own worker served. */
  recordServed(calls: number): void {
    this.#served += calls;
  }

  /** Counts a call of the own worker to a service. */
  recordCall(service: string): void {
    this.#downstream.set(service, (this.#downstream.get(service) ?? 0) + 1);
  }

  /** Services whose pressure applies to the own worker's service. */
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
