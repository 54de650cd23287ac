import type { EventLog } from "./event_log.ts";
import type { MetricsRegistry } from "./metrics_registry.ts";

/**
 * Number of errors within {@linkcode WINDOW_MS} after which the state of the
 * process counts as unsound.
 */
const MAX_ERRORS = 10;

/** Time for which an error counts, in milliseconds. */
const WINDOW_MS = 60_000;

/** Options of {@linkcode UnexpectedErrors}. */
export interface UnexpectedErrorsOptions {
  readonly log: EventLog;
  readonly metrics: MetricsRegistry;
  /** Returns monotonic time in milliseconds. */
  readonly now: () => number;
}

/**
 * Decides what an error that nothing has caught means for the process. One such
 * error costs one request, which its time limit ends; a process that ended
 * itself would cut off all requests in progress. A process in which they recur
 * is to be restarted.
 */
export class UnexpectedErrors {
  readonly #options: UnexpectedErrorsOptions;
  #recordedAt: readonly number[] = [];

  /** @param options Log, counters and clock. */
  constructor(options: UnexpectedErrorsOptions) {
    this.#options = options;
  }

  /**
   * Logs and counts an error.
   *
   * @returns Whether the process may continue.
   */
  record(error: unknown): boolean {
    const { log, metrics, now } = this.#options;
    const at = now();
    this.#recordedAt = [
      ...this.#recordedAt.filter((earlier) => at - earlier < WINDOW_MS),
      at,
    ];
    const mayContinue = this.#recordedAt.length <= MAX_ERRORS;
    metrics.count("unexpected_errors");
    log.write("error", "unexpected_error", {
      reason: error instanceof Error
        ? error.stack ?? error.message
        : String(error),
      may_continue: mayContinue,
    });
    return mayContinue;
  }
}
