/**
 * Stand-ins and fixtures for tests and benchmarks.
 *
 * @module
 */

export * from "./backend_behaviour.ts";
export * from "./backend_stand_in.ts";
export * from "./call_server_fixture.ts";
export * from "./execution_record.ts";
export * from "./fencing_token.ts";
export * from "./loopback_network.ts";
export * from "./open_admission.ts";
export * from "./open_policy.ts";
export * from "./standalone_call_server.ts";
