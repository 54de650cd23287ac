/** Lets a task wait until there is work for it. */
export class Latch {
  #isOpen = false;
  #wake: (() => void) | undefined;

  /** Ends the current or the next wait. */
  open(): void {
    this.#isOpen = true;
    this.#wake?.();
  }

  /**
   * Resolves when the latch is open, and closes it again.
   *
   * @param signal Ends the wait early without an error.
   */
  async wait(signal: AbortSignal): Promise<void> {
    if (!this.#isOpen && !signal.aborted) {
      await new Promise<void>((resolve) => {
        const wake = () => {
          signal.removeEventListener("abort", wake);
          resolve();
        };
        this.#wake = wake;
        signal.addEventListener("abort", wake);
      });
    }
    this.#wake = undefined;
    this.#isOpen = false;
  }
}
