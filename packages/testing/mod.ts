/**
 * Stand-ins, seeded fault schedules and invariant checks.
 *
 * @module
 */

export * from "./backend_behaviour.ts";
export * from "./backend_stand_in.ts";
export * from "./edge_fixture.ts";
export * from "./execution_record.ts";
export * from "./fence.ts";
export * from "./loopback_network.ts";
export * from "./open_admission.ts";
export * from "./open_policy.ts";
export * from "./standalone_edge.ts";
