import type { Clock } from "@oleanderdeck/settings";

/**
 * Least time between two checks, in milliseconds, which is also the resolution
 * of deadlines and progress timeouts.
 */
const RESOLUTION_MS = 10;

/** Call whose deadline and progress are checked when they may be due. */
export interface Watched {
  /**
   * Checks the call.
   *
   * @returns Time at which it has to be checked again.
   */
  check(now: number): number;
}

/**
 * Checks all calls in flight by one timer, set for the earliest time at which
 * any of them may be due. The usual call ends long before, and then costs no
 * timer and no wake-up of the process.
 */
export class CallWatch {
  readonly #clock: Clock;
  readonly #watched = new Set<Watched>();
  #timer: NodeJS.Timeout | undefined;
  #firesAt = Infinity;

  /** @param clock Clock that `check` gets the time of. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of calls in flight. */
  get size(): number {
    return this.#watched.size;
  }

  /**
   * Starts to check a call.
   *
   * @param dueAt Earliest time at which it has to be checked.
   */
  add(call: Watched, dueAt: number): void {
    this.#watched.add(call);
    this.#setTimer(dueAt);
  }

  /** Stops checking a call. */
  remove(call: Watched): void {
    this.#watched.delete(call);
  }

  #setTimer(dueAt: number): void {
    if (dueAt >= this.#firesAt) return;
    clearTimeout(this.#timer);
    this.#firesAt = dueAt;
    const wait = Math.max(RESOLUTION_MS, dueAt - this.#clock.now());
    this.#timer = setTimeout(() => this.#checkAll(), wait);
    // Open connections keep the process alive as long as calls are in flight.
    this.#timer.unref();
  }

  #checkAll(): void {
    this.#firesAt = Infinity;
    const now = this.#clock.now();
    let dueAt = Infinity;
    for (const call of this.#watched) {
      const next = call.check(now);
      if (this.#watched.has(call)) dueAt = Math.min(dueAt, next);
    }
    if (dueAt !== Infinity) this.#setTimer(dueAt);
  }
}
