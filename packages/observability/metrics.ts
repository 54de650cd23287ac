import { StatsD } from "hot-shots";
import type { ErrorKind } from "@oleanderdeck/errors";

/** Reasons for a retry; each has a counter. */
export const RETRY_REASONS = [
  "worker_refused",
  "connection_refused",
  "connection_lost",
  "answer_cut",
  "no_progress",
  "shed_by_serving_node",
] as const;

/** Reason for a retry. */
export type RetryReason = (typeof RETRY_REASONS)[number];

/** Where the statsd server listens. */
export interface MetricsOptions {
  /** IP address; no metrics are sent if absent. */
  readonly host?: string;
  /** UDP port. */
  readonly port?: number;
  /** Tags of every metric. */
  readonly tags: Readonly<Record<string, string>>;
}

/** Counters, gauges and timings, sent by hot-shots to a statsd server. */
export class Metrics {
  readonly #client: StatsD;

  /** @param options Address of the server and common tags. */
  constructor(options: MetricsOptions) {
    this.#client = new StatsD({
      host: options.host,
      port: options.port,
      mock: options.host === undefined,
      prefix: "oleanderdeck.",
      globalTags: { ...options.tags },
      errorHandler: () => {},
      maxBufferSize: 1400,
    });
  }

  /** Counts a refusal by its kind. */
  countRefusal(kind: ErrorKind, service: string): void {
    this.#client.increment(`refusal.${kind}`, 1, { service });
  }

  /** Counts a retry by its reason. */
  countRetry(reason: RetryReason, service: string): void {
    this.#client.increment(`retry.${reason}`, 1, { service });
  }

  /** Counts something else. */
  count(name: string, amount = 1): void {
    this.#client.increment(name, amount);
  }

  /** Sets a gauge. */
  gauge(name: string, value: number): void {
    this.#client.gauge(name, value);
  }

  /** Records a duration in milliseconds. */
  timing(name: string, milliseconds: number, service: string): void {
    this.#client.timing(name, milliseconds, { service });
  }

  /** Sends what is buffered and closes the socket. */
  close(): Promise<void> {
    return new Promise((resolve) => this.#client.close(() => resolve()));
  }
}
