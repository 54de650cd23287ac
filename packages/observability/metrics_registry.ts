import { build, type Histogram } from "hdr-histogram-js";

/** Labels of a series, as name and value. */
export type MetricLabels = Readonly<Record<string, string | number>>;

/** Percentiles that are written for each histogram. */
const PERCENTILES = [50, 90, 99, 99.9] as const;

/** Matches values of labels that need no escapes. */
const PLAIN_LABEL = /^[\w.:-]*$/;

/** Longest duration in a histogram, in milliseconds; longer ones are capped. */
const MAX_DURATION_MS = 600_000;

/**
 * Maximum number of counters and of histograms, so that names sent by callers
 * cannot exhaust the memory. Values of further series are dropped and counted
 * as `series_dropped`.
 */
const MAX_COUNTERS = 2_048;
const MAX_HISTOGRAMS = 128;

/**
 * Counters, gauges and latency histograms of a process, rendered as text with
 * one line for each value, `name{label="value"} number`.
 */
export class MetricsRegistry {
  readonly #counters = new Map<string, number>();
  readonly #histograms = new Map<string, Histogram>();
  readonly #gauges = new Map<string, () => number>();
  #dropped = 0;

  /** Adds 1 to a counter. */
  count(name: string, labels: MetricLabels = {}): void {
    const key = seriesName(name, labels);
    const current = this.#counters.get(key);
    if (current === undefined && this.#counters.size >= MAX_COUNTERS) {
      this.#dropped++;
      return;
    }
    this.#counters.set(key, (current ?? 0) + 1);
  }

  /** Records a duration in milliseconds. */
  observe(name: string, milliseconds: number, labels: MetricLabels): void {
    const key = seriesName(name, labels);
    let histogram = this.#histograms.get(key);
    if (histogram === undefined) {
      if (this.#histograms.size >= MAX_HISTOGRAMS) {
        this.#dropped++;
        return;
      }
      histogram = build({
        bitBucketSize: 32,
        highestTrackableValue: MAX_DURATION_MS,
        numberOfSignificantValueDigits: 2,
      });
      this.#histograms.set(key, histogram);
    }
    const bounded = Math.min(Math.max(milliseconds, 0), MAX_DURATION_MS);
    histogram.recordValue(Math.round(bounded));
  }

  /** Registers the function that returns the current value of a gauge. */
  gauge(name: string, value: () => number): void {
    this.#gauges.set(name, value);
  }

  /** Renders all values as text. */
  render(): string {
    const lines = [
      ...[...this.#counters].map(([key, value]) => `${key} ${value}`),
      ...[...this.#gauges].map(([key, value]) => `${key} ${value()}`),
      ...[...this.#histograms].flatMap(([key, histogram]) => [
        ...PERCENTILES.map((percentile) =>
          `${withLabel(key, "quantile", percentile / 100)} ${
            histogram.getValueAtPercentile(percentile)
          }`
        ),
        `${withSuffix(key, "_count")} ${histogram.totalCount}`,
        `${withSuffix(key, "_max")} ${histogram.maxValue}`,
      ]),
      `series_dropped ${this.#dropped}`,
    ];
    return lines.join("\n") + "\n";
  }
}

// Runs for each answered request, so plain values are not encoded as JSON.
function seriesName(name: string, labels: MetricLabels): string {
  let text = "";
  for (const label in labels) {
    const value = String(labels[label]);
    const quoted = PLAIN_LABEL.test(value)
      ? `"${value}"`
      : JSON.stringify(value);
    text += `${text === "" ? "" : ","}${label}=${quoted}`;
  }
  return text === "" ? name : `${name}{${text}}`;
}

function withLabel(key: string, label: string, value: number): string {
  const text = `${label}="${value}"`;
  return key.endsWith("}") ? `${key.slice(0, -1)},${text}}` : `${key}{${text}}`;
}

function withSuffix(key: string, suffix: string): string {
  const at = key.indexOf("{");
  return at < 0 ? key + suffix : key.slice(0, at) + suffix + key.slice(at);
}
