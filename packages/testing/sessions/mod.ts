/**
 * Recorded sessions of real components on a virtual clock. Datagrams, calls,
 * backend servers and the store are fakes. A session is a simulated run of a
 * fleet from its start to its end.
 *
 * @module
 */

export * from "./fault_schedule.ts";
export * from "./run_schedule.ts";
export * from "./session_call.ts";
export * from "./session_fleet.ts";
export * from "./session_network.ts";
export * from "./session_node.ts";
export * from "./session_clients.ts";
export * from "./session_recorder.ts";
export * from "./session_server.ts";
export * from "./format_session.ts";
export * from "./request_templates.ts";
export * from "./process_clock.ts";
export * from "./soak.ts";
