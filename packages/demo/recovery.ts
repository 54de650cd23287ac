import type { LoadTestReport } from "@oleanderdeck/load";

/** Share of the reference goodput at which a deployment counts as recovered. */
const RECOVERED_SHARE = 0.95;

/** Length of the window over which goodput is measured, in milliseconds. */
const WINDOW_MS = 1000;

/** Part of a load run, in milliseconds since its start. */
export interface TimeRange {
  readonly startMs: number;
  readonly endMs: number;
}

/** Options of {@linkcode recoveryMs}. */
export interface RecoveryOptions {
  /** Time before the disturbance, whose goodput is the reference. */
  readonly before: TimeRange;
  /** Time from the end of the disturbance to the start of the next one. */
  readonly after: TimeRange;
}

/** Share of the calls sent in a time range that had a complete answer. */
function goodput(report: LoadTestReport, range: TimeRange): number {
  const { intervalMs, totals } = report;
  const from = Math.floor(range.startMs / intervalMs);
  const to = Math.floor(range.endMs / intervalMs);
  const sum = (timeline: readonly number[]) =>
    timeline.slice(from, to).reduce((total, count) => total + count, 0);
  return sum(totals.wholeTimeline) / Math.max(1, sum(totals.sentTimeline));
}

/**
 * Measures the time from the end of a disturbance until goodput, the share of
 * calls with complete answers, is back at 95% of its value before the disturbance.
 *
 * @returns Recovery time in milliseconds; undefined if goodput did not recover
 * within `after`.
 */
export function recoveryMs(
  report: LoadTestReport,
  options: RecoveryOptions,
): number | undefined {
  const { after, before } = options;
  const requiredGoodput = RECOVERED_SHARE * goodput(report, before);
  const steps = Math.floor(
    (after.endMs - WINDOW_MS - after.startMs) / report.intervalMs,
  );
  const starts = Array.from(
    { length: Math.max(0, steps) },
    (_, step) => after.startMs + step * report.intervalMs,
  );
  const recovered = starts.find((startMs) =>
    goodput(report, { startMs, endMs: startMs + WINDOW_MS }) >= requiredGoodput
  );
  return recovered === undefined ? undefined : recovered - after.startMs;
}
