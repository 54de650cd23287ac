import { Clock, type VirtualClock } from "@oleanderdeck/settings";

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
    await this.waitUntilRunning();
  }

  /** Resolves while the process runs; never for a killed one. */
  async waitUntilRunning(): Promise<void> {
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
