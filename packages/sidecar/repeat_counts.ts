import type { EventLog, MetricsRegistry } from "@oleanderdeck/observability";

/**
 * Kind of a call at the gate of the local worker: `first` for the first attempt
 * of a request, `repeat` for a request that is sent again to a second worker or
 * a call made by the execution of a repeat, and `refused` for a repeat that is
 * refused because the repeat limit is reached.
 */
export type GateCallKind = "first" | "repeat" | "refused";

/** Options of {@linkcode RepeatCounts}. */
export interface RepeatCountsOptions {
  readonly log: EventLog;
  readonly metrics: MetricsRegistry;
}

/**
 * Counts the calls at the gate of the local worker by kind, so that the sum over
 * all workers of a service can be compared with the repeat limit.
 */
export class RepeatCounts {
  readonly #options: RepeatCountsOptions;
  #counts = { first: 0, repeat: 0, refused: 0 };

  /** @param options Log and metrics that the counts are written to. */
  constructor(options: RepeatCountsOptions) {
    this.#options = options;
  }

  /** Counts one call, for the metrics and the next log line. */
  increment(kind: GateCallKind): void {
    this.#options.metrics.count("gate_calls", { kind });
    this.#counts[kind]++;
  }

  /**
   * Logs the counts since the last call of this method, if there were repeats
   * or refused repeats, and resets them.
   */
  logAndReset(): void {
    const { first, repeat, refused } = this.#counts;
    this.#counts = { first: 0, repeat: 0, refused: 0 };
    if (repeat + refused === 0) return;
    this.#options.log.write("info", "repeats_counted", {
      first,
      repeat,
      refused,
    });
  }
}
