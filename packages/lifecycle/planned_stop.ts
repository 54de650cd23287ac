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
  /** Returns what is under way, for the log. */
  readonly workUnderWay?: () => EventFields;
  /** Ends the process; `process.exit` if omitted. */
  readonly exit?: (code: number) => void;
}

/**
 * Ends a program at signals. The first one begins the stop; further ones are
 * counted and logged, and neither shorten the stop nor begin another one. What
 * must not wait for the work in progress sends SIGKILL.
 */
export class PlannedStop {
  readonly #options: PlannedStopOptions;
  readonly #counts = new Map<StopSignal, number>();
  #startedAt = 0;
  #ended: Promise<void> | undefined;

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

  async #run(signal: StopSignal): Promise<void> {
    this.#startedAt = performance.now();
    const { exit = (code) => process.exit(code), stop } = this.#options;
    try {
      await stop();
    } catch (error) {
      this.#logEnd("error", signal, {
        fault: error instanceof Error ? error.stack : String(error),
      });
      return exit(EXIT_CODES.failed);
    }
    this.#logEnd("info", signal, this.#options.workUnderWay?.());
    exit(EXIT_CODES.stopped);
  }

  #logEnd(
    level: "info" | "error",
    reason: StopSignal,
    fields: EventFields = {},
  ): void {
    this.#options.log.write(level, "process_ending", {
      reason,
      ...Object.fromEntries(
        STOP_SIGNALS.map((name) => [
          `${name.toLowerCase()}_count`,
          this.#counts.get(name) ?? 0,
        ]),
      ),
      elapsed_ms: Math.round(performance.now() - this.#startedAt),
      ...fields,
    });
  }
}
