import { Clock } from "@oleanderdeck/settings";

interface Timer {
  readonly at: number;
  readonly run: () => void;
}

/** Clock whose time a session advances; equal times run in the order of calls. */
export class VirtualClock extends Clock {
  #now = 0;
  /** Timers in the order of their times, the next one last. */
  readonly #timers: Timer[] = [];

  now(): number {
    return this.#now;
  }

  /** Runs a function after a time; returns a function that cancels it. */
  schedule(milliseconds: number, run: () => void): () => void {
    const timer = { at: this.#now + Math.max(0, milliseconds), run };
    let low = 0;
    let high = this.#timers.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#timers[middle]!.at > timer.at) low = middle + 1;
      else high = middle;
    }
    this.#timers.splice(low, 0, timer);
    return () => {
      const index = this.#timers.indexOf(timer);
      if (index >= 0) this.#timers.splice(index, 1);
    };
  }

  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const finish = () => {
        cancel();
        signal?.removeEventListener("abort", finish);
        resolve();
      };
      const cancel = this.schedule(milliseconds, finish);
      signal?.addEventListener("abort", finish);
    });
  }

  /** Advances the time and runs everything that is due. */
  async advance(milliseconds: number): Promise<void> {
    const end = this.#now + milliseconds;
    await settle();
    while ((this.#timers.at(-1)?.at ?? Infinity) <= end) {
      const { at, run } = this.#timers.pop()!;
      this.#now = Math.max(this.#now, at);
      run();
      await settle();
    }
    this.#now = end;
  }
}

/**
 * Clock of one process on the time of a session. A paused process runs nothing
 * until it is resumed, and a killed one nothing ever again.
 */
export class ProcessClock extends Clock {
  readonly #clock: VirtualClock;
  #pausedUntil = 0;
  #killed = false;

  /** @param clock Time of the session. */
  constructor(clock: VirtualClock) {
    super();
    this.#clock = clock;
  }

  /** Whether the process runs or will run again. */
  get alive(): boolean {
    return !this.#killed;
  }

  /** Stops the process for a time. */
  pause(milliseconds: number): void {
    this.#pausedUntil = Math.max(
      this.#pausedUntil,
      this.#clock.now() + milliseconds,
    );
  }

  /** Ends the process. */
  kill(): void {
    this.#killed = true;
  }

  now(): number {
    return this.#clock.now();
  }

  async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    await this.#clock.sleep(milliseconds, signal);
    await this.awake();
  }

  /** Resolves while the process runs; never for a killed one. */
  async awake(): Promise<void> {
    while (!this.#killed && this.#pausedUntil > this.now()) {
      await this.#clock.sleep(this.#pausedUntil - this.now());
    }
    if (this.#killed) await new Promise<never>(() => {});
  }

  /** Runs a function now, or when the process is resumed. */
  run(task: () => void): void {
    if (this.#killed) return;
    if (this.#pausedUntil <= this.now()) return task();
    this.#clock.schedule(
      this.#pausedUntil - this.now(),
      () => this.run(task),
    );
  }
}

/** Lets all promise callbacks run that are due now. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
