import type { Clock } from "@oleanderdeck/settings";

/** Age that is reported if no contact with the store is known. */
export const NO_CONTACT_AGE_MS = 0xffff_ffff;

/**
 * Tracks the latest contact of any node with the store, as far as this node
 * knows. Nodes report its age to each other.
 */
export class StoreContact {
  readonly #clock: Clock;
  #latestContactAt = -Infinity;

  /** @param clock Clock by which ages are measured. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that the store has just responded to this node. */
  record(): void {
    this.#latestContactAt = this.#clock.now();
  }

  /**
   * Records the age of the latest contact that another node reported.
   *
   * @param ageMs Age, in milliseconds.
   */
  recordReportedAge(ageMs: number): void {
    if (ageMs < NO_CONTACT_AGE_MS) {
      this.#latestContactAt = Math.max(
        this.#latestContactAt,
        this.#clock.now() - ageMs,
      );
    }
  }

  /**
   * Returns the time since the latest contact, in whole milliseconds;
   * {@linkcode NO_CONTACT_AGE_MS} if no contact is known.
   */
  ageMs(): number {
    return Math.min(
      Math.floor(this.#clock.now() - this.#latestContactAt),
      NO_CONTACT_AGE_MS,
    );
  }
}
