import type { LoadTestReport } from "@oleanderdeck/load";

/** Share of the earlier goodput at which a deployment counts as recovered. */
const RECOVERED_SHARE = 0.95;

/** Width of the window over which goodput is compared, in milliseconds. */
const WINDOW_MS = 1000;

/** Time span of a run, in milliseconds since its start. */
export interface Span {
  readonly startMs: number;
  readonly endMs: number;
}

/** Options of {@linkcode recoveryMs}. */
export interface RecoveryOptions {
  /** Time before the cause, whose goodput is the reference. */
  readonly before: Span;
  /** Time from the end of the cause to the next cause. */
  readonly after: Span;
}

function goodput(report: LoadTestReport, span: Span): number {
  const { intervalMs, totals } = report;
  const from = Math.floor(span.startMs / intervalMs);
  const to = Math.floor(span.endMs / intervalMs);
  const sum = (timeline: readonly number[]) =>
    timeline.slice(from, to).reduce((total, count) => total + count, 0);
  return sum(totals.wholeTimeline) / Math.max(1, sum(totals.sentTimeline));
}

/**
 * Finds the time from the end of a cause until the share of calls with whole
 * answers is back at 95% of the share before the cause.
 *
 * @returns Milliseconds; undefined if that did not happen.
 */
export function recoveryMs(
  report: LoadTestReport,
  options: RecoveryOptions,
): number | undefined {
  const { after, before } = options;
  const wanted = RECOVERED_SHARE * goodput(report, before);
  const steps = Math.floor(
    (after.endMs - WINDOW_MS - after.startMs) / report.intervalMs,
  );
  const starts = Array.from(
    { length: Math.max(0, steps) },
    (_, step) => after.startMs + step * report.intervalMs,
  );
  const recovered = starts.find((startMs) =>
    goodput(report, { startMs, endMs: startMs + WINDOW_MS }) >= wanted
  );
  return recovered === undefined ? undefined : recovered - after.startMs;
}
