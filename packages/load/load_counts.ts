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

/** Counts of attempts or of calls by how they ended. */
export interface OutcomeSummary {
  readonly outcomes: Readonly<Partial<Record<AttemptOutcome, number>>>;
  /** Rejections by error kind. */
  readonly rejected: Readonly<Record<string, number>>;
  /** Answers with an error status and no error kind, by status. */
  readonly errorStatus: Readonly<Record<string, number>>;
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

  /** Forgets all latencies. */
  reset(): void {
    this.#histogram.reset();
  }

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

/** Counts results by outcome. */
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

  /** Number of results with an outcome. */
  of(outcome: AttemptOutcome): number {
    return this.#outcomes.get(outcome) ?? 0;
  }

  /** Number of all results. */
  total(): number {
    return [...this.#outcomes.values()].reduce((sum, count) => sum + count, 0);
  }

  summary(): OutcomeSummary {
    return {
      outcomes: Object.fromEntries(this.#outcomes),
      rejected: Object.fromEntries(this.#rejected),
      errorStatus: Object.fromEntries(this.#errorStatus),
      run: { ...this.#run },
    };
  }
}

/** Events per interval over the time of a run. */
export class Timeline {
  readonly #counts: number[];
  readonly #intervalMs: number;

  /**
   * @param durationMs Time that is covered; later events count in the last
   * interval.
   * @param intervalMs Length of one interval.
   */
  constructor(durationMs: number, intervalMs: number) {
    this.#intervalMs = intervalMs;
    this.#counts = new Array(Math.max(1, Math.ceil(durationMs / intervalMs)))
      .fill(0);
  }

  /** Counts an event at a time from the start of the run, in milliseconds. */
  count(timeMs: number): void {
    const index = Math.floor(timeMs / this.#intervalMs);
    this.#counts[Math.min(Math.max(index, 0), this.#counts.length - 1)]! += 1;
  }

  counts(): readonly number[] {
    return this.#counts;
  }
}
