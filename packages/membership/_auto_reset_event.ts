/** Event that wakes one waiting task per signal and resets itself. */
export class AutoResetEvent {
  #isSet = false;
  #endWait: (() => void) | undefined;

  /** Sets the event, which ends the current wait or, if none, the next one. */
  set(): void {
    this.#isSet = true;
    this.#endWait?.();
  }

  /**
   * Resolves when the event is set, and resets it.
   *
   * @param signal Ends the wait early, without an error, when it is aborted.
   */
  async wait(signal: AbortSignal): Promise<void> {
    if (!this.#isSet && !signal.aborted) {
      await new Promise<void>((resolve) => {
        const endWait = () => {
          signal.removeEventListener("abort", endWait);
          resolve();
        };
        this.#endWait = endWait;
        signal.addEventListener("abort", endWait);
      });
    }
    this.#endWait = undefined;
    this.#isSet = false;
  }
}
