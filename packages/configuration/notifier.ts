import type { Clock } from "@oleanderdeck/settings";

/** Lets a task wait for work that another part of the program announces. */
export class Notifier {
  #current = new AbortController();

  /** Ends the waits that have begun. */
  notifyAll(): void {
    const previous = this.#current;
    this.#current = new AbortController();
    previous.abort();
  }

  /** Waits for work, at most for a time or until the signal is aborted. */
  async wait(
    clock: Clock,
    options: { readonly milliseconds: number; readonly signal: AbortSignal },
  ): Promise<void> {
    const { milliseconds, signal } = options;
    if (signal.aborted) return;
    // Not by AbortSignal.any, which keeps a reference to each wait in the
    // signal of the whole task.
    const controller = this.#current;
    const notify = () => controller.abort();
    signal.addEventListener("abort", notify);
    await clock.sleep(milliseconds, controller.signal);
    signal.removeEventListener("abort", notify);
  }
}

/**
 * Waits for a promise until the signal is aborted.
 *
 * @returns The value of the promise; undefined when the wait was ended.
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
