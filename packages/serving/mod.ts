/**
 * The worker beside this node: its state as reported by its heartbeats, the
 * admission of calls to its slots, and the connections to it.
 *
 * @module
 */

export * from "./attempt.ts";
export * from "./body_buffer.ts";
export * from "./chain_admission.ts";
export * from "./chain_counts.ts";
export * from "./departed_workers.ts";
export * from "./parse_headers.ts";
export * from "./header_names.ts";
export * from "./memory_account.ts";
export {
  type MemoryHolder,
  type MemoryLimits,
  memoryLimits,
  type MemorySum,
} from "./memory_limits.ts";
export { MemoryReservation } from "./memory_reservation.ts";
export * from "./overload_meter.ts";
export * from "./rank.ts";
export * from "./request_limit.ts";
export * from "./ranked_queue.ts";
export * from "./stop_admission.ts";
export * from "./worker_call.ts";
export * from "./worker_connections.ts";
export * from "./worker_gate.ts";
export * from "./worker_gate_options.ts";
export * from "./worker_incarnation.ts";
export * from "./worker_state.ts";
