import type { EventLog, MetricsRegistry } from "@oleanderdeck/observability";

/**
 * How a call at the gate of the own worker counts: as the first of its request,
 * as a repeat (also if a run that is a repeat makes it), or as a repeat that was
 * refused for the bound.
 */
export type GateCallKind = "first" | "repeat" | "refused";

/** Options of {@linkcode RepeatCounts}. */
export interface RepeatCountsOptions {
  readonly log: EventLog;
  readonly metrics: MetricsRegistry;
}

/**
 * Counts what the own worker gets, so that the sum over the workers of a
 * service can be held against the bound of repeats.
 */
export class RepeatCounts {
  readonly #options: RepeatCountsOptions;
  #counts = { first: 0, repeat: 0, refused: 0 };

  /** @param options Where counts are written. */
  constructor(options: RepeatCountsOptions) {
    this.#options = options;
  }

  /** Counts one call. */
  increment(kind: GateCallKind): void {
    this.#options.metrics.count("gate_calls", { kind });
    this.#counts[kind]++;
  }

  /** Writes a line if there were repeats since the last report. */
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
