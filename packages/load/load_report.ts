import type { LatencySummary, OutcomeSummary } from "./load_counts.ts";

/** Results of one kind of call. */
export interface CallReport {
  /** Calls that were due and sent. */
  readonly sent: number;
  /** Calls that were due while too many were in flight. */
  readonly notSent: number;
  /** Attempts beyond the first of each call. */
  readonly retries: number;
  /** Calls by the result of their last attempt. */
  readonly calls: OutcomeSummary;
  readonly attempts: OutcomeSummary;
  /** Requests for permits. */
  readonly permits: OutcomeSummary;
  /** Time from the due time of a call to its whole answer, without the warm-up. */
  readonly latencyMs: LatencySummary;
  /** Calls sent in each interval, by due time. */
  readonly sentTimeline: readonly number[];
  /** Whole answers in each interval, by the time of their end. */
  readonly wholeTimeline: readonly number[];
}

/** Result of a run. */
export interface LoadTestReport {
  readonly seed: number;
  /** Start in ISO 8601. */
  readonly startedAt: string;
  /** Length of all phases in milliseconds. */
  readonly plannedMs: number;
  /** Length of the run with the wait for the last answers, in milliseconds. */
  readonly elapsedMs: number;
  /** Whether the run was ended before its phases. */
  readonly cancelled: boolean;
  /** Length of one interval of the timelines, in milliseconds. */
  readonly intervalMs: number;
  /**
   * Time by which calls were sent late. High values mean that the generator,
   * not the system, was the bottleneck.
   */
  readonly latenessMs: LatencySummary;
  /** Whole answers weighted by failure cost, divided by all calls so weighted. */
  readonly weightedService: number;
  readonly totals: CallReport;
  readonly calls: Readonly<Record<string, CallReport>>;
}

/** State of a run at one time; counts are since the start. */
export interface LoadProgress {
  readonly elapsedMs: number;
  readonly inFlight: number;
  readonly sent: number;
  readonly whole: number;
  readonly rejected: number;
  /** Calls that ended in another way. */
  readonly failed: number;
  readonly retries: number;
  /** Latencies of the whole answers since the report before. */
  readonly latencyMs: LatencySummary;
}

/** Writes a state as one `key=value` line. */
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

/** Summary of a report as lines of text. */
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
