import { build, type Histogram } from "hdr-histogram-js";
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

/** Options of {@linkcode StatsdMetrics}. */
export interface StatsdMetricsOptions {
  /** IP address; no metrics are sent if absent. */
  readonly host?: string;
  /** UDP port. */
  readonly port?: number;
  /** Tags of every metric. */
  readonly tags: Readonly<Record<string, string>>;
  /** Time between two reports, in milliseconds; 1,000 by default. */
  readonly intervalMs?: number;
}

/**
 * Maximum number of counters, and of gauges, so that service names sent by
 * callers cannot exhaust the memory. Values of further series are dropped and
 * counted as `series_dropped`.
 */
export const MAX_SERIES = 4_096;

/** Longest duration of a timing, in milliseconds; longer ones are capped. */
export const MAX_TIMING_MS = 600_000;

/** Maximum number of timings, each with a histogram of 11 KB. */
const MAX_TIMINGS = 256;

interface Counter {
  readonly name: string;
  readonly service: string | undefined;
  amount: number;
}

interface Timing {
  readonly name: string;
  readonly service: string;
  readonly histogram: Histogram;
}

/**
 * Counters, gauges and timings, sent by hot-shots to a statsd server. They are
 * added up in memory and sent once per interval, so that the cost of a call and
 * the traffic do not grow with the number of calls. A timing is sent as the
 * counter `<name>.count` and the gauges `<name>.p50`, `<name>.p99` and
 * `<name>.max` in milliseconds.
 */
export class StatsdMetrics {
  readonly #client: StatsD;
  readonly #timer: NodeJS.Timeout | undefined;
  readonly #counters = new Map<string, Counter>();
  readonly #gauges = new Map<string, number>();
  readonly #timings = new Map<string, Timing>();
  readonly #isEnabled: boolean;
  #dropped = 0;

  /** @param options Address of the server and common tags. */
  constructor(options: StatsdMetricsOptions) {
    this.#isEnabled = options.host !== undefined;
    this.#client = new StatsD({
      host: options.host,
      port: options.port,
      mock: !this.#isEnabled,
      prefix: "oleanderdeck.",
      globalTags: { ...options.tags },
      errorHandler: () => {},
      maxBufferSize: 1400,
    });
    if (this.#isEnabled) {
      this.#timer = setInterval(
        () => this.#report(),
        options.intervalMs ?? 1_000,
      ).unref();
    }
  }

  /** Counts a refusal by its kind. */
  countRefusal(kind: ErrorKind, service: string): void {
    this.#add(`refusal.${kind}`, 1, service);
  }

  /** Counts a retry by its reason. */
  countRetry(reason: RetryReason, service: string): void {
    this.#add(`retry.${reason}`, 1, service);
  }

  /** Adds an amount to a counter without the tag `service`. */
  count(name: string, amount = 1): void {
    this.#add(name, amount, undefined);
  }

  /** Sets a gauge; the last value of an interval is sent. */
  gauge(name: string, value: number): void {
    if (!this.#isEnabled) return;
    if (this.#gauges.has(name) || this.#gauges.size < MAX_SERIES) {
      this.#gauges.set(name, value);
    } else {
      this.#dropped++;
    }
  }

  /** Records a duration in milliseconds. */
  timing(name: string, milliseconds: number, service: string): void {
    if (!this.#isEnabled) return;
    const key = `${name} ${service}`;
    let timing = this.#timings.get(key);
    if (timing === undefined) {
      if (this.#timings.size >= MAX_TIMINGS) {
        this.#dropped++;
        return;
      }
      timing = { name, service, histogram: newHistogram() };
      this.#timings.set(key, timing);
    }
    const bounded = Math.min(Math.max(milliseconds, 0), MAX_TIMING_MS);
    timing.histogram.recordValue(Math.round(bounded * UNITS_PER_MS));
  }

  /** Sends the metrics of the current interval and closes the socket. */
  close(): Promise<void> {
    clearInterval(this.#timer);
    this.#report();
    return new Promise((resolve) => this.#client.close(() => resolve()));
  }

  #add(name: string, amount: number, service: string | undefined): void {
    if (!this.#isEnabled) return;
    const key = service === undefined ? name : `${name} ${service}`;
    const counter = this.#counters.get(key);
    if (counter !== undefined) counter.amount += amount;
    else if (this.#counters.size < MAX_SERIES) {
      this.#counters.set(key, { name, service, amount });
    } else this.#dropped++;
  }

  #report(): void {
    if (this.#dropped > 0) {
      this.#client.increment("series_dropped", this.#dropped);
      this.#dropped = 0;
    }
    for (const { name, service, amount } of this.#counters.values()) {
      this.#client.increment(name, amount, tagsOf(service));
    }
    this.#counters.clear();
    for (const [name, value] of this.#gauges) this.#client.gauge(name, value);
    this.#gauges.clear();
    for (const [key, { name, service, histogram }] of this.#timings) {
      // The timing of a service without calls in the interval is removed, to
      // make room for another service.
      if (histogram.totalCount === 0) {
        this.#timings.delete(key);
        continue;
      }
      const tags = tagsOf(service);
      const percentile = (percent: number) =>
        histogram.getValueAtPercentile(percent) / UNITS_PER_MS;
      this.#client.increment(`${name}.count`, histogram.totalCount, tags);
      this.#client.gauge(`${name}.p50`, percentile(50), tags);
      this.#client.gauge(`${name}.p99`, percentile(99), tags);
      this.#client.gauge(`${name}.max`, percentile(100), tags);
      histogram.reset();
    }
  }
}

/** Histograms hold whole numbers, here hundredths of a millisecond. */
const UNITS_PER_MS = 100;

function newHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    highestTrackableValue: MAX_TIMING_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 2,
  });
}

function tagsOf(service: string | undefined): Record<string, string> {
  return service === undefined ? {} : { service };
}
