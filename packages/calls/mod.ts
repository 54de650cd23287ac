/**
 * Data path of calls: HTTP edge, streaming dispatch, deadlines, cancellation
 * and forwarding.
 *
 * @module
 */

export * from "./backend_server_registration.ts";
export * from "./call_context.ts";
export * from "./call_server.ts";
export * from "./call_server_options.ts";
