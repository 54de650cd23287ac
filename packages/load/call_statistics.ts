import type { AttemptResult } from "./attempt.ts";
import {
  LatencyHistogram,
  type LatencySummary,
  OutcomeCounts,
  Timeline,
} from "./load_counts.ts";
import type { CallReport } from "./load_report.ts";

/** Options of {@linkcode CallStatistics}. */
export interface StatisticsOptions {
  /** Length of the timelines in milliseconds. */
  readonly durationMs: number;
  /** Length of one interval of the timelines in milliseconds. */
  readonly intervalMs: number;
}

/** Call that has ended. */
export interface EndedCall {
  /** Result of the last attempt. */
  readonly result: AttemptResult;
  /**
   * Time at which the call ended, in milliseconds from the start of the run.
   */
  readonly endedAt: number;
  readonly latencyMs: number;
  /** Whether the report includes the latency; false in the warm-up. */
  readonly isMeasured: boolean;
}

/** Counts and latencies of the calls of one kind or of an entire run. */
export class CallStatistics {
  /** Ended calls by the result of their last attempt. */
  readonly calls = new OutcomeCounts();
  readonly #attempts = new OutcomeCounts();
  readonly #permits = new OutcomeCounts();
  readonly #latency = new LatencyHistogram();
  /** Latencies since the last progress report. */
  readonly #recentLatency = new LatencyHistogram();
  readonly #sentTimeline: Timeline;
  readonly #wholeTimeline: Timeline;
  #sent = 0;
  #notSent = 0;
  #retries = 0;

  /** @param options Length and interval of the timelines. */
  constructor(options: StatisticsOptions) {
    const { durationMs, intervalMs } = options;
    this.#sentTimeline = new Timeline(durationMs, intervalMs);
    this.#wholeTimeline = new Timeline(durationMs, intervalMs);
  }

  /** Number of calls sent. */
  get sent(): number {
    return this.#sent;
  }

  /** Number of attempts after the first of each call. */
  get retries(): number {
    return this.#retries;
  }

  /**
   * Counts a call that is sent.
   *
   * @param dueTime Due time in milliseconds from the start of the run.
   */
  countSent(dueTime: number): void {
    this.#sent += 1;
    this.#sentTimeline.count(dueTime);
  }

  /** Counts a call that is not sent because too many are in flight. */
  countNotSent(): void {
    this.#notSent += 1;
  }

  /**
   * Counts an attempt.
   *
   * @param result Result of the attempt.
   * @param attempt Number of the attempt within its call, 1 for the first.
   */
  countAttempt(result: AttemptResult, attempt: number): void {
    this.#attempts.count(result);
    if (attempt > 1) this.#retries += 1;
  }

  /** Counts a request for a permit. */
  countPermit(result: AttemptResult): void {
    this.#permits.count(result);
  }

  /** Counts a call that has ended and, if it succeeded, records its latency. */
  countEnd(ended: EndedCall): void {
    this.calls.count(ended.result);
    if (ended.result.outcome !== "whole") return;
    if (ended.isMeasured) this.#latency.record(ended.latencyMs);
    this.#recentLatency.record(ended.latencyMs);
    this.#wholeTimeline.count(ended.endedAt);
  }

  /** Returns the latencies recorded since the previous call of this method. */
  takeRecentLatency(): LatencySummary {
    const summary = this.#recentLatency.summary();
    this.#recentLatency.reset();
    return summary;
  }

  /** Returns the counts and latencies since the start of the run. */
  report(): CallReport {
    return {
      sent: this.#sent,
      notSent: this.#notSent,
      retries: this.#retries,
      calls: this.calls.summary(),
      attempts: this.#attempts.summary(),
      permits: this.#permits.summary(),
      latencyMs: this.#latency.summary(),
      sentTimeline: this.#sentTimeline.counts(),
      wholeTimeline: this.#wholeTimeline.counts(),
    };
  }
}
