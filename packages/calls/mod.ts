/**
 * Data path of calls: HTTP edge, streaming dispatch, deadlines, cancellation
 * and forwarding.
 *
 * @module
 */

export * from "./backend_server_registration.ts";
export * from "./call_context.ts";
export * from "./call_edge.ts";
export * from "./call_edge_options.ts";
