import type { Clock } from "@oleanderdeck/settings";

/** Lets tasks wait until another part of the program notifies them of work. */
export class Notifier {
  #current = new AbortController();

  /** Ends all current waits. */
  notifyAll(): void {
    const previous = this.#current;
    this.#current = new AbortController();
    previous.abort();
  }

  /**
   * Waits for a notification, until the time is over or the signal is aborted.
   *
   * @param clock Clock of the wait.
   * @param options Maximum time of the wait, in milliseconds, and the signal.
   */
  async wait(
    clock: Clock,
    options: { readonly milliseconds: number; readonly signal: AbortSignal },
  ): Promise<void> {
    const { milliseconds, signal } = options;
    if (signal.aborted) return;
    // AbortSignal.any is not used, because it keeps a reference to each wait in
    // the signal, which lives as long as the task.
    const controller = this.#current;
    const notify = () => controller.abort();
    signal.addEventListener("abort", notify);
    await clock.sleep(milliseconds, controller.signal);
    signal.removeEventListener("abort", notify);
  }
}

/**
 * Waits until a promise settles or the signal is aborted.
 *
 * @param promise Promise to wait for; it is not cancelled.
 * @param signal Signal that ends the wait.
 * @returns The value of the promise; undefined if the signal was aborted first.
 */
export async function untilAborted<Result>(
  promise: Promise<Result>,
  signal: AbortSignal,
): Promise<Result | undefined> {
  if (signal.aborted) return undefined;
  let stop = () => {};
  const stopped = new Promise<undefined>((resolve) => {
    stop = () => resolve(undefined);
    signal.addEventListener("abort", stop);
  });
  try {
    return await Promise.race([promise, stopped]);
  } finally {
    signal.removeEventListener("abort", stop);
  }
}
