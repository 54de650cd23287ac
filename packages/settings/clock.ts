/** Source of time, which tests can replace by one that they control. */
export abstract class Clock {
  /** Monotonic time in milliseconds from an arbitrary origin. */
  abstract now(): number;

  /**
   * Resolves after a time, or early when the signal is aborted.
   *
   * @param milliseconds Time to wait.
   * @param signal Ends the wait early without an error.
   */
  abstract sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}

/**
 * Monotonic clock of the process, based on `performance.now` and `setTimeout`;
 * the fake timers of vitest control it.
 */
export class SystemClock extends Clock {
  now(): number {
    return performance.now();
  }

  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener("abort", finish);
        resolve();
      };
      const timer = setTimeout(finish, milliseconds);
      signal?.addEventListener("abort", finish);
    });
  }
}
