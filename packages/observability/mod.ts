/**
 * Logs and metrics of a process: one line of `key=value` pairs for each event,
 * and metrics with a counter for each refusal and retry reason.
 *
 * @module
 */

export * from "./counter_reference.ts";
export * from "./event_log.ts";
export * from "./non_blocking_log_stream.ts";
export * from "./statsd_metrics.ts";
export * from "./metrics_registry.ts";
export * from "./request_log.ts";
export * from "./unexpected_errors.ts";
