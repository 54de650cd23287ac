import type { Clock } from "@oleanderdeck/settings";

/** Age that is reported when no contact with the store was ever heard of. */
export const NO_CONTACT_AGE_MS = 0xffff_ffff;

/** Latest contact of any node with the store, as far as this node knows. */
export class StoreContact {
  readonly #clock: Clock;
  #latestContactAt = -Infinity;

  /** @param clock Clock for ages. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Notes that the store has just answered this node. */
  record(): void {
    this.#latestContactAt = this.#clock.now();
  }

  /** Notes an age that another node reported, in milliseconds. */
  recordReportedAge(ageMs: number): void {
    if (ageMs < NO_CONTACT_AGE_MS) {
      this.#latestContactAt = Math.max(
        this.#latestContactAt,
        this.#clock.now() - ageMs,
      );
    }
  }

  /** Whole milliseconds since the latest contact. */
  ageMs(): number {
    return Math.min(
      Math.floor(this.#clock.now() - this.#latestContactAt),
      NO_CONTACT_AGE_MS,
    );
  }
}
