import type { EventFields, EventLog } from "@oleanderdeck/observability";

/** Signals that ask a program to stop. */
export const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Signal that asks a program to stop. */
export type StopSignal = typeof STOP_SIGNALS[number];

/** Exit codes of a program that was asked to stop. */
const EXIT_CODES = { stopped: 0, failed: 1 } as const;

/** Options of {@linkcode PlannedStop}. */
export interface PlannedStopOptions {
  readonly log: Pick<EventLog, "write">;
  /** Finishes the work in progress and closes all connections. */
  readonly stop: () => Promise<void>;
  /**
   * Returns the time for a stop of an unsound process, in milliseconds; no limit
   * if omitted. The platform limits one that it asked for itself.
   */
  readonly timeLimitMs?: () => number;
  /** Returns what is under way, for the log. */
  readonly workUnderWay?: () => EventFields;
  /** Ends the process; `process.exit` if omitted. */
  readonly exit?: (code: number) => void;
}

/**
 * Ends a program at signals, or when it is unsound. The first reason begins the
 * stop; further ones are logged, and neither shorten the stop nor begin another
 * one. What must not wait for the work in progress sends SIGKILL.
 */
export class PlannedStop {
  readonly #options: PlannedStopOptions;
  readonly #counts = new Map<StopSignal, number>();
  #startedAt = 0;
  #ended: Promise<void> | undefined;
  #isUnsound = false;
  #hasEnded = false;

  /** @param options Log, work to finish and end of the process. */
  constructor(options: PlannedStopOptions) {
    this.#options = options;
  }

  /** Begins to handle the signals of {@linkcode STOP_SIGNALS}. */
  listen(): void {
    STOP_SIGNALS.forEach((signal) =>
      process.on(signal, () => void this.request(signal))
    );
  }

  /**
   * Asks for the stop.
   *
   * @param signal Signal that arrived.
   * @returns Resolves when the stop has ended, whichever request began it.
   */
  request(signal: StopSignal): Promise<void> {
    const count = (this.#counts.get(signal) ?? 0) + 1;
    this.#counts.set(signal, count);
    this.#options.log.write("info", "stop_signal", {
      signal,
      count,
      is_first: this.#ended === undefined,
      ...this.#options.workUnderWay?.(),
    });
    return this.#ended ??= this.#run(signal);
  }

  /**
   * Asks for the stop because the process is unsound: it ends with an exit code of
   * a failure, at the time limit at the latest.
   *
   * @param reason Reason for the log.
   * @returns Resolves when the stop has ended, whichever request began it.
   */
  fail(reason: string): Promise<void> {
    const isFirst = this.#ended === undefined;
    const ended = this.#ended ??= this.#run(reason);
    if (this.#isUnsound) return ended;
    this.#isUnsound = true;
    this.#options.log.write("error", "stop_unsound", {
      reason,
      is_first: isFirst,
      ...this.#options.workUnderWay?.(),
    });
    this.#limitTime(reason);
    return ended;
  }

  #limitTime(reason: string): void {
    const limitMs = this.#options.timeLimitMs?.();
    if (limitMs === undefined) return;
    const elapsedMs = performance.now() - this.#startedAt;
    setTimeout(
      () => this.#end(reason, { fault: "The time for the stop is over" }),
      limitMs - elapsedMs,
    ).unref();
  }

  async #run(reason: string): Promise<void> {
    this.#startedAt = performance.now();
    try {
      await this.#options.stop();
    } catch (error) {
      return this.#end(reason, {
        fault: error instanceof Error ? error.stack : String(error),
      });
    }
    this.#end(reason, this.#options.workUnderWay?.());
  }

  #end(reason: string, fields: EventFields = {}): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    const { exit = (code) => process.exit(code), log } = this.#options;
    const isFailed = this.#isUnsound || "fault" in fields;
    const code = isFailed ? EXIT_CODES.failed : EXIT_CODES.stopped;
    log.write(isFailed ? "error" : "info", "process_ending", {
      reason,
      ...Object.fromEntries(
        STOP_SIGNALS.map((name) => [
          `${name.toLowerCase()}_count`,
          this.#counts.get(name) ?? 0,
        ]),
      ),
      code,
      elapsed_ms: Math.round(performance.now() - this.#startedAt),
      ...fields,
    });
    exit(code);
  }
}
