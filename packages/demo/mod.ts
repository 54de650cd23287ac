/**
 * Demonstration of whole deployments in separate processes on loopback
 * addresses, with load, faults and checks of invariants.
 *
 * @module
 */

export * from "./demonstration.ts";
export * from "./deployment.ts";
export * from "./judgement.ts";
export * from "./recovery.ts";
