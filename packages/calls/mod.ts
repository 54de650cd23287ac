/**
 * Data path of calls: the HTTP server for callers, streaming dispatch to
 * backend servers, deadlines, cancellation and forwarding between nodes.
 *
 * @module
 */

export * from "./backend_server_registration.ts";
export * from "./call_context.ts";
export * from "./call_server.ts";
export * from "./call_server_options.ts";
