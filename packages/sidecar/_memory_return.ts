import type { MemoryAccount } from "@oleanderdeck/serving";

/**
 * Released bytes after which they are collected, although the process works on.
 * Node.js waits for twice as many.
 */
const MAX_RELEASED_BYTES = 33_554_432;

/** Released bytes below which a process that holds nothing is left alone. */
const MIN_RELEASED_BYTES = 4_194_304;

/**
 * Returns the memory of released bodies to the system. Node.js would keep it until
 * the process allocates much more, which an idle one does not.
 */
export class MemoryReturn {
  readonly #account: MemoryAccount;
  #collectedAt = 0;

  /** @param account Account whose released bytes are returned. */
  constructor(account: MemoryAccount) {
    this.#account = account;
  }

  /** Collects released bytes if they are many. Called a few times a second. */
  check(): void {
    const { heldBytes, releasedBytes } = this.#account;
    const uncollected = releasedBytes - this.#collectedAt;
    const isDue = uncollected > MAX_RELEASED_BYTES ||
      heldBytes === 0 && uncollected > MIN_RELEASED_BYTES;
    if (!isDue) return;
    this.#collectedAt = releasedBytes;
    // Only with the option --expose-gc, as in the deploy file.
    globalThis.gc?.();
  }
}
