/** Lets a task wait until there is work for it. */
export class AutoResetEvent {
  #isSet = false;
  #endWait: (() => void) | undefined;

  /** Ends the current or the next wait. */
  set(): void {
    this.#isSet = true;
    this.#endWait?.();
  }

  /**
   * Resolves when the latch is open, and closes it again.
   *
   * @param signal Ends the wait early without an error.
   */
  async wait(signal: AbortSignal): Promise<void> {
    if (!this.#isSet && !signal.aborted) {
      await new Promise<void>((resolve) => {
        const wake = () => {
          signal.removeEventListener("abort", wake);
          resolve();
        };
        this.#endWait = wake;
        signal.addEventListener("abort", wake);
      });
    }
    this.#endWait = undefined;
    this.#isSet = false;
  }
}
