import type { Clock } from "@oleanderdeck/settings";

/** Options of a {@linkcode ByteBudget}. */
export interface ByteBudgetOptions {
  readonly bytesPerSecond: number;
  /** Most bytes that are saved up while nothing is spent. */
  readonly burstBytes: number;
}

/** Token bucket that limits the bytes sent per second. */
export class ByteBudget {
  readonly #clock: Clock;
  readonly #options: ByteBudgetOptions;
  #available: number;
  #refilledMs: number;

  /** @param options Rate and burst; the bucket is full at the start. */
  constructor(clock: Clock, options: ByteBudgetOptions) {
    this.#clock = clock;
    this.#options = options;
    this.#available = options.burstBytes;
    this.#refilledMs = clock.now();
  }

  /** Bytes that may be spent now; negative if {@linkcode spend} took too many. */
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

  /** Takes bytes from the bucket, which may make it negative. */
  spend(bytes: number): void {
    this.#available = this.available() - bytes;
  }
}
