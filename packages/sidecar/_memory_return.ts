import type { MemoryAccount } from "@oleanderdeck/serving";

/**
 * Released bytes after which they are collected, although the process works on.
 * Node.js waits for twice as many.
 */
const MAX_RELEASED_BYTES = 33_554_432;

/** Released bytes below which a process that holds nothing is left alone. */
const MIN_RELEASED_BYTES = 4_194_304;

/**
 * Shortest time between two collections, in milliseconds: each holds the process
 * up for some tens of milliseconds.
 */
const MIN_INTERVAL_MS = 2_000;

/**
 * Returns the memory of released bodies to the system. Node.js would keep it until
 * the process allocates much more, which an idle one does not.
 */
export class MemoryReturn {
  readonly #account: MemoryAccount;
  readonly #now: () => number;
  #collectedBytes = 0;
  #collectedAt = -Infinity;

  /**
   * @param account Account whose released bytes are returned.
   * @param now Returns monotonic time in milliseconds.
   */
  constructor(account: MemoryAccount, now = () => performance.now()) {
    this.#account = account;
    this.#now = now;
  }

  /** Collects released bytes if they are many. Called a few times a second. */
  check(): void {
    const { releasedBytes } = this.#account;
    // Light traffic keeps some small answers all the time.
    const heldBytes = this.#account.heldBytes -
      this.#account.heldBytesOf("kept_answers");
    const uncollected = releasedBytes - this.#collectedBytes;
    const now = this.#now();
    const isDue = uncollected > MAX_RELEASED_BYTES ||
      heldBytes === 0 && uncollected > MIN_RELEASED_BYTES;
    if (!isDue || now - this.#collectedAt < MIN_INTERVAL_MS) return;
    this.#collectedBytes = releasedBytes;
    this.#collectedAt = now;
    // Only with the option --expose-gc, as in the deploy file.
    globalThis.gc?.();
  }
}
