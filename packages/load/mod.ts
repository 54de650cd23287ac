/**
 * Load generator that sends calls in an open loop, with phases of different
 * rates, retries and permits. It checks that every response is complete and
 * reports latencies and counts by outcome.
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
