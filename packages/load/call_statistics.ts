import type { AttemptResult } from "./attempt.ts";
import {
  LatencyHistogram,
  type LatencySummary,
  OutcomeCounts,
  Timeline,
} from "./load_counts.ts";
import type { CallReport } from "./load_report.ts";

/** Times of a run. */
export interface StatisticsOptions {
  /** Time that the timelines cover, in milliseconds. */
  readonly durationMs: number;
  readonly intervalMs: number;
}

/** One ended call. */
export interface EndedCall {
  readonly result: AttemptResult;
  /** Time of the end from the start of the run, in milliseconds. */
  readonly endedAt: number;
  readonly latencyMs: number;
  /** Whether the latency counts, which it does not in the warm-up. */
  readonly isMeasured: boolean;
}

/** Counts what happens to the calls of one kind or of a whole run. */
export class CallStatistics {
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

  /** @param options Times of the run. */
  constructor(options: StatisticsOptions) {
    const { durationMs, intervalMs } = options;
    this.#sentTimeline = new Timeline(durationMs, intervalMs);
    this.#wholeTimeline = new Timeline(durationMs, intervalMs);
  }

  get sent(): number {
    return this.#sent;
  }

  get retries(): number {
    return this.#retries;
  }

  /** Counts a call that is sent, by its due time. */
  countSent(dueTime: number): void {
    this.#sent += 1;
    this.#sentTimeline.count(dueTime);
  }

  countNotSent(): void {
    this.#notSent += 1;
  }

  /** Counts an attempt, from 1 for the first of a call. */
  countAttempt(result: AttemptResult, attempt: number): void {
    this.#attempts.count(result);
    if (attempt > 1) this.#retries += 1;
  }

  countPermit(result: AttemptResult): void {
    this.#permits.count(result);
  }

  countEnd(ended: EndedCall): void {
    this.calls.count(ended.result);
    if (ended.result.outcome !== "whole") return;
    if (ended.isMeasured) this.#latency.record(ended.latencyMs);
    this.#recentLatency.record(ended.latencyMs);
    this.#wholeTimeline.count(ended.endedAt);
  }

  /** Latencies since the last call of this method. */
  takeRecentLatency(): LatencySummary {
    const summary = this.#recentLatency.summary();
    this.#recentLatency.reset();
    return summary;
  }

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
