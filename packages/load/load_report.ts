import type { LatencySummary, OutcomeSummary } from "./load_counts.ts";

/** Results of one kind of call. */
export interface CallReport {
  /** Number of calls that were sent. */
  readonly sent: number;
  /** Number of calls that were not sent because too many were in flight. */
  readonly notSent: number;
  /** Number of attempts after the first of each call. */
  readonly retries: number;
  /** Calls by the result of their last attempt. */
  readonly calls: OutcomeSummary;
  /** All attempts of all calls, by result. */
  readonly attempts: OutcomeSummary;
  /** Requests for permits, by result. */
  readonly permits: OutcomeSummary;
  /**
   * Latency of the calls with the outcome `whole`: time from sending a call to
   * the end of its response, or from its due time if it was sent late. Calls of
   * the warm-up are excluded.
   */
  readonly latencyMs: LatencySummary;
  /** Number of calls sent in each interval, by due time. */
  readonly sentTimeline: readonly number[];
  /**
   * Number of calls with the outcome `whole` in each interval, by the time at
   * which they ended.
   */
  readonly wholeTimeline: readonly number[];
}

/** Result of a run. */
export interface LoadTestReport {
  /** Seed of the load description. */
  readonly seed: number;
  /** Start of the run in ISO 8601. */
  readonly startedAt: string;
  /** Total length of the phases in milliseconds. */
  readonly plannedMs: number;
  /**
   * Length of the run in milliseconds, including the wait for the last
   * responses.
   */
  readonly elapsedMs: number;
  /** Whether the run was ended before all calls of its phases were sent. */
  readonly cancelled: boolean;
  /** Length of one interval of the timelines, in milliseconds. */
  readonly intervalMs: number;
  /**
   * Time from the due time of a call until it was sent. High values mean that
   * the generator, not the system, was the bottleneck.
   */
  readonly latenessMs: LatencySummary;
  /**
   * Calls with the outcome `whole` divided by all calls that ended, both
   * weighted by their failure cost; 1 if no call ended.
   */
  readonly weightedService: number;
  /** Results of all calls. */
  readonly totals: CallReport;
  /** Results of each kind of call, by name. */
  readonly calls: Readonly<Record<string, CallReport>>;
}

/** State of a run at one time. Counts are cumulative since its start. */
export interface LoadProgress {
  readonly elapsedMs: number;
  readonly inFlight: number;
  readonly sent: number;
  /** Calls with the outcome `whole`. */
  readonly whole: number;
  /** Calls with the outcome `rejected`. */
  readonly rejected: number;
  /** Calls with any other outcome. */
  readonly failed: number;
  readonly retries: number;
  /**
   * Latencies of the calls that ended with the outcome `whole` since the
   * previous progress report.
   */
  readonly latencyMs: LatencySummary;
}

/** Formats the state of a run as one line of `key=value` pairs. */
export function formatProgress(progress: LoadProgress): string {
  const { latencyMs, elapsedMs } = progress;
  return [
    `elapsed_s=${(elapsedMs / 1000).toFixed(1)}`,
    `sent=${progress.sent}`,
    `whole=${progress.whole}`,
    `rejected=${progress.rejected}`,
    `failed=${progress.failed}`,
    `retries=${progress.retries}`,
    `in_flight=${progress.inFlight}`,
    `p50_ms=${latencyMs.p50.toFixed(2)}`,
    `p99_ms=${latencyMs.p99.toFixed(2)}`,
  ].join(" ");
}

const COLUMNS = [
  "CALL",
  "SENT",
  "WHOLE",
  "REJECTED",
  "FAILED",
  "RETRIES",
  "P50 MS",
  "P99 MS",
  "MAX MS",
];

function reportRow(name: string, report: CallReport): readonly string[] {
  const { whole = 0, rejected = 0 } = report.calls.outcomes;
  const { p50, p99, max } = report.latencyMs;
  return [
    name,
    String(report.sent),
    String(whole),
    String(rejected),
    String(report.sent - whole - rejected),
    String(report.retries),
    ...[p50, p99, max].map((value) => value.toFixed(2)),
  ];
}

function formatCounts(
  title: string,
  counts: Readonly<Record<string, number>>,
): readonly string[] {
  const entries = Object.entries(counts).filter(([, count]) => count > 0);
  if (entries.length === 0) return [];
  return [
    `${title}: ${entries.map(([name, count]) => `${name}=${count}`).join(" ")}`,
  ];
}

/** Formats a summary of a report as lines of text. */
export function formatReport(report: LoadTestReport): readonly string[] {
  const { totals, calls, elapsedMs, latenessMs } = report;
  const rows = [
    COLUMNS,
    ...Object.entries(calls).map(([name, each]) => reportRow(name, each)),
    reportRow("total", totals),
  ];
  const widths = COLUMNS.map((_, column) =>
    Math.max(...rows.map((row) => row[column]!.length))
  );
  return [
    ...rows.map((row) =>
      row.map((cell, column) =>
        column === 0
          ? cell.padEnd(widths[column]!)
          : cell.padStart(widths[column]!)
      ).join("  ")
    ),
    "",
    ...formatCounts("outcomes of calls", totals.calls.outcomes),
    ...formatCounts("rejections of calls", totals.calls.rejected),
    ...formatCounts("error statuses of calls", totals.calls.errorStatus),
    ...formatCounts("calls run", totals.calls.run),
    ...formatCounts("outcomes of attempts", totals.attempts.outcomes),
    ...formatCounts("not sent", { calls: totals.notSent }),
    `weighted service: ${report.weightedService.toFixed(4)}`,
    `elapsed: ${(elapsedMs / 1000).toFixed(1)} s, ` +
    `lateness p99: ${latenessMs.p99.toFixed(2)} ms`,
  ];
}
