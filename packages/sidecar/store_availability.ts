import type { EventLog } from "@oleanderdeck/observability";

/** Records whether the platform's store answers this node, and logs changes. */
export class StoreAvailability {
  readonly #log: EventLog;
  #isUnavailable = false;
  #lastContactAt = -Infinity;
  #isClosed = false;

  /** @param log Receives a line when the store is lost or regained. */
  constructor(log: EventLog) {
    this.#log = log;
  }

  /**
   * Whether a call to the store has failed and no read of the configuration has
   * succeeded since.
   */
  get isUnavailable(): boolean {
    return this.#isUnavailable;
  }

  /**
   * Time since the store last answered a read or watch of the configuration, in
   * milliseconds; infinite before the first answer.
   */
  get silentMs(): number {
    return performance.now() - this.#lastContactAt;
  }

  /** Records an answer to a read or watch of the configuration. */
  recordContact(): void {
    this.#lastContactAt = performance.now();
    if (!this.#isUnavailable) return;
    this.#isUnavailable = false;
    this.#log.write("info", "store_regained");
  }

  /**
   * Records a failed call.
   *
   * @param task Name of the task that made the call.
   * @param error Reason of the failure.
   */
  recordFailure(task: string, error: unknown): void {
    if (this.#isUnavailable || this.#isClosed) return;
    this.#isUnavailable = true;
    this.#log.write("warn", "store_lost", {
      task,
      reason: error instanceof Error ? error.message : String(error),
    });
  }

  /** Ignores further failures, because the node stops. */
  close(): void {
    this.#isClosed = true;
  }
}
