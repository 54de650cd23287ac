import type { EventLog, MetricsPage } from "@oleanderdeck/observability";

/**
 * How a send counts towards the bound of repeats: as the first of a request, as
 * the first of a request that a repeated run makes, or as a repeat.
 */
export type SendKind = "first" | "nested" | "repeated";

/** Options of {@linkcode RepeatCounts}. */
export interface RepeatCountsOptions {
  readonly log: EventLog;
  readonly metrics: MetricsPage;
}

type Counts = Record<SendKind, number>;

/**
 * Counts what this node sends to each service, so that the sum over all nodes
 * can be held against the bound of repeats.
 */
export class RepeatCounts {
  readonly #options: RepeatCountsOptions;
  readonly #services = new Map<string, Counts>();

  /** @param options Where counts are written. */
  constructor(options: RepeatCountsOptions) {
    this.#options = options;
  }

  /** Counts one send to a service. */
  note(service: string, kind: SendKind): void {
    this.#options.metrics.count("sends", { kind, service });
    const known = this.#services.get(service);
    const counts = known ?? { first: 0, nested: 0, repeated: 0 };
    if (known === undefined) this.#services.set(service, counts);
    counts[kind]++;
  }

  /** Writes a line for each service that got repeats since the last report. */
  report(): void {
    this.#services.forEach(({ first, nested, repeated }, service) => {
      if (nested + repeated === 0) return;
      this.#options.log.write("info", "repeats_sent", {
        service,
        first,
        nested,
        repeated,
      });
    });
    this.#services.clear();
  }
}
