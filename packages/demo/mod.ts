/**
 * Demonstration that runs complete deployments as separate processes on loopback
 * addresses, with load, injected faults and checks of invariants.
 *
 * @module
 */

export * from "./demonstration.ts";
export * from "./deployment.ts";
export * from "./evaluation.ts";
export * from "./recovery.ts";
