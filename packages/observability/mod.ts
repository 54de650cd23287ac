/**
 * What operators see of a process: one line of `key=value` pairs for each
 * event, and metrics with a counter for each refusal and retry reason.
 *
 * @module
 */

export * from "./counter_reference.ts";
export * from "./event_log.ts";
export * from "./log_output.ts";
export * from "./metrics.ts";
export * from "./metrics_page.ts";
export * from "./request_log.ts";
