import type { Clock } from "@oleanderdeck/settings";

/** Rate of a {@linkcode ByteBudget}. */
export interface ByteBudgetOptions {
  readonly bytesPerSecond: number;
  /** Bytes that may be spent at once after a quiet time. */
  readonly burstBytes: number;
}

/** Token bucket over bytes. */
export class ByteBudget {
  readonly #clock: Clock;
  readonly #options: ByteBudgetOptions;
  #available: number;
  #refilledMs: number;

  /** @param options Rate and burst; the budget starts with a full burst. */
  constructor(clock: Clock, options: ByteBudgetOptions) {
    this.#clock = clock;
    this.#options = options;
    this.#available = options.burstBytes;
    this.#refilledMs = clock.now();
  }

  /** Bytes that may be spent now; negative after {@linkcode spend} overdrew. */
  available(): number {
    const now = this.#clock.now();
    const { bytesPerSecond, burstBytes } = this.#options;
    this.#available = Math.min(
      burstBytes,
      this.#available + (now - this.#refilledMs) * bytesPerSecond / 1000,
    );
    this.#refilledMs = now;
    return this.#available;
  }

  /** Takes bytes, also more than are available. */
  spend(bytes: number): void {
    this.#available = this.available() - bytes;
  }
}
