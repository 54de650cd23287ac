import { build, type Histogram } from "hdr-histogram-js";
import type { ExecutionStatus } from "@oleanderdeck/errors";
import type { AttemptOutcome, AttemptResult } from "./attempt.ts";

/** Latencies in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Numbers of attempts or of calls by their result. */
export interface OutcomeSummary {
  /** All results, by outcome. */
  readonly outcomes: Readonly<Partial<Record<AttemptOutcome, number>>>;
  /** Rejections by error kind. */
  readonly rejected: Readonly<Record<string, number>>;
  /** Responses with an error status and no error kind, by status. */
  readonly errorStatus: Readonly<Record<string, number>>;
  /** All results, by whether the request was executed. */
  readonly run: Readonly<Record<ExecutionStatus, number>>;
}

const LONGEST_LATENCY_US = 3_600_000_000;

/** Histogram of latencies with three significant digits. */
export class LatencyHistogram {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: LONGEST_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });

  /** Records a latency in milliseconds. */
  record(milliseconds: number): void {
    const microseconds = Math.round(milliseconds * 1000);
    this.#histogram.recordValue(
      Math.min(Math.max(microseconds, 1), LONGEST_LATENCY_US),
    );
  }

  /** Adds the latencies of another histogram. */
  add(other: LatencyHistogram): void {
    this.#histogram.add(other.#histogram);
  }

  /** Removes all recorded latencies. */
  reset(): void {
    this.#histogram.reset();
  }

  /** Returns the mean, the percentiles and the maximum in milliseconds. */
  summary(): LatencySummary {
    const histogram = this.#histogram;
    const at = (percentile: number) =>
      histogram.getValueAtPercentile(percentile) / 1000;
    return {
      count: histogram.totalCount,
      mean: Math.round(histogram.mean) / 1000,
      p50: at(50),
      p90: at(90),
      p99: at(99),
      p999: at(99.9),
      max: histogram.maxValue / 1000,
    };
  }
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

/** Counts results by outcome, error kind, status and execution. */
export class OutcomeCounts {
  readonly #outcomes = new Map<string, number>();
  readonly #rejected = new Map<string, number>();
  readonly #errorStatus = new Map<string, number>();
  readonly #run = { yes: 0, no: 0, unknown: 0 };

  /** Counts one result. */
  count(result: AttemptResult): void {
    increment(this.#outcomes, result.outcome);
    if (result.outcome === "rejected") {
      increment(this.#rejected, result.kind ?? "unlisted_kind");
    }
    if (result.outcome === "error_status") {
      increment(this.#errorStatus, String(result.status));
    }
    this.#run[result.run] += 1;
  }

  /** Returns the number of results with an outcome. */
  countOf(outcome: AttemptOutcome): number {
    return this.#outcomes.get(outcome) ?? 0;
  }

  /** Returns the number of all results. */
  total(): number {
    return [...this.#outcomes.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Returns a copy of the counts. */
  summary(): OutcomeSummary {
    return {
      outcomes: Object.fromEntries(this.#outcomes),
      rejected: Object.fromEntries(this.#rejected),
      errorStatus: Object.fromEntries(this.#errorStatus),
      run: { ...this.#run },
    };
  }
}

/** Number of events in each interval of a run. */
export class Timeline {
  readonly #counts: number[];
  readonly #intervalMs: number;

  /**
   * @param durationMs Length of the timeline in milliseconds; later events are
   * counted in the last interval.
   * @param intervalMs Length of one interval in milliseconds.
   */
  constructor(durationMs: number, intervalMs: number) {
    this.#intervalMs = intervalMs;
    this.#counts = new Array(Math.max(1, Math.ceil(durationMs / intervalMs)))
      .fill(0);
  }

  /**
   * Counts an event.
   *
   * @param timeMs Time of the event in milliseconds from the start of the run.
   */
  count(timeMs: number): void {
    const index = Math.floor(timeMs / this.#intervalMs);
    this.#counts[Math.min(Math.max(index, 0), this.#counts.length - 1)]! += 1;
  }

  /** Returns the number of events in each interval. */
  counts(): readonly number[] {
    return this.#counts;
  }
}
