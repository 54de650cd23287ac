import type { Clock } from "@oleanderdeck/settings";

/**
 * Minimum time between two checks, in milliseconds. This is also the resolution
 * of deadlines and progress timeouts.
 */
const RESOLUTION_MS = 10;

/** Call whose deadline and progress timeout are checked. */
export interface MonitoredCall {
  /**
   * Ends the call or its attempt if a timeout has expired.
   *
   * @param now Time on the clock of the node, in milliseconds.
   * @returns Time at which the call has to be checked again.
   */
  check(now: number): number;
}

/**
 * Checks all calls in flight with a single timer, which fires at the earliest
 * time at which a timeout of any of them may expire. Most calls end long before
 * and then need neither a timer of their own nor a wake-up of the process.
 */
export class CallTimeoutMonitor {
  readonly #clock: Clock;
  readonly #calls = new Set<MonitoredCall>();
  #timer: NodeJS.Timeout | undefined;
  #firesAt = Infinity;

  /** @param clock Source of the time passed to {@linkcode MonitoredCall.check}. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of calls in flight. */
  get size(): number {
    return this.#calls.size;
  }

  /**
   * Starts to monitor a call.
   *
   * @param call Call to check.
   * @param dueAt Earliest time at which it has to be checked.
   */
  add(call: MonitoredCall, dueAt: number): void {
    this.#calls.add(call);
    this.#setTimer(dueAt);
  }

  /** Stops monitoring a call. */
  remove(call: MonitoredCall): void {
    this.#calls.delete(call);
  }

  #setTimer(dueAt: number): void {
    if (dueAt >= this.#firesAt) return;
    clearTimeout(this.#timer);
    this.#firesAt = dueAt;
    const wait = Math.max(RESOLUTION_MS, dueAt - this.#clock.now());
    // Timers run before sockets are read. Bytes that arrived while the process was
    // held up count as progress.
    this.#timer = setTimeout(() => setImmediate(() => this.#checkAll()), wait);
    // The timer need not keep the process alive: while calls are in flight,
    // their open connections do.
    this.#timer.unref();
  }

  #checkAll(): void {
    this.#firesAt = Infinity;
    const now = this.#clock.now();
    let dueAt = Infinity;
    for (const call of this.#calls) {
      const next = call.check(now);
      if (this.#calls.has(call)) dueAt = Math.min(dueAt, next);
    }
    if (dueAt !== Infinity) this.#setTimer(dueAt);
  }
}
