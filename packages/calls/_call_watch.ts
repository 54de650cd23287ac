import type { Clock } from "@oleanderdeck/settings";

/**
 * Resolution of deadlines and progress timeouts, in milliseconds. One shared
 * timer costs less than a timer per call.
 */
const TICK_MS = 10;

/** Call whose deadline and progress are checked at each tick. */
export interface Watched {
  check(now: number): void;
}

/** Checks all calls in flight by one timer, which runs only while there are any. */
export class CallWatch {
  readonly #clock: Clock;
  readonly #watched = new Set<Watched>();
  #timer: NodeJS.Timeout | undefined;

  /** @param clock Clock that `check` gets the time of. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of calls in flight. */
  get size(): number {
    return this.#watched.size;
  }

  /** Starts to check a call. */
  add(call: Watched): void {
    this.#watched.add(call);
    this.#timer ??= setInterval(() => this.#tick(), TICK_MS);
  }

  /** Stops checking a call. */
  remove(call: Watched): void {
    this.#watched.delete(call);
  }

  #tick(): void {
    if (this.#watched.size === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
      return;
    }
    const now = this.#clock.now();
    for (const call of this.#watched) call.check(now);
  }
}
