import { Clock, type VirtualClock } from "@oleanderdeck/settings";

/**
 * Clock of one process, based on the virtual clock of the session. A paused
 * process runs no tasks until it is resumed, and a killed process runs none.
 */
export class ProcessClock extends Clock {
  readonly #clock: VirtualClock;
  #pausedUntil = 0;
  #killed = false;

  /** @param clock Virtual clock of the session. */
  constructor(clock: VirtualClock) {
    super();
    this.#clock = clock;
  }

  /** Whether the process is running or paused, that is, not killed. */
  get alive(): boolean {
    return !this.#killed;
  }

  /** Pauses the process for a duration in milliseconds. */
  pause(milliseconds: number): void {
    this.#pausedUntil = Math.max(
      this.#pausedUntil,
      this.#clock.now() + milliseconds,
    );
  }

  /** Kills the process. */
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

  /** Resolves when the process is not paused; never for a killed process. */
  async waitUntilRunning(): Promise<void> {
    while (!this.#killed && this.#pausedUntil > this.now()) {
      await this.#clock.sleep(this.#pausedUntil - this.now());
    }
    if (this.#killed) await new Promise<never>(() => {});
  }

  /** Runs a task now, or after the process is resumed if it is paused. */
  run(task: () => void): void {
    if (this.#killed) return;
    if (this.#pausedUntil <= this.now()) return task();
    this.#clock.schedule(
      this.#pausedUntil - this.now(),
      () => this.run(task),
    );
  }
}
