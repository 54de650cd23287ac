/**
 * Load generator: an open loop of calls with phases, retries of callers and
 * permits, which checks that every answer is complete and reports latencies and
 * counts by outcome.
 *
 * @module
 */

export * from "./attempt.ts";
export {
  LatencyHistogram,
  type LatencySummary,
  type OutcomeSummary,
} from "./load_counts.ts";
export {
  callName,
  type LoadCall,
  type LoadDescription,
  loadDescriptionSchema,
  type LoadPhase,
} from "./load_description.ts";
export { renderLoadReference } from "./load_reference.ts";
export * from "./load_report.ts";
export * from "./run_load.ts";
