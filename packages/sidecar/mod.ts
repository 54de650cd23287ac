/**
 * Sidecar node for hosts whose worker is reachable from its own host only. Each
 * host runs one node beside its worker, and each call passes through the node of
 * its caller and the node of its worker.
 *
 * @module
 */

export * from "./broker_choice.ts";
export * from "./call_graph.ts";
export * from "./configuration_freshness.ts";
export * from "./configuration_proof.ts";
export * from "./configuration_sync.ts";
export * from "./configuration_watchers.ts";
export * from "./fleet_repeat_limit.ts";
export * from "./organisation_limits.ts";
export * from "./peer_state_sync.ts";
export * from "./load_reporter.ts";
export * from "./node_quotas.ts";
export * from "./node_stop.ts";
export * from "./peer_server.ts";
export * from "./proof_exchange.ts";
export * from "./read_confirmation.ts";
export * from "./quota_broker.ts";
export * from "./quota_exchange.ts";
export * from "./record_sync.ts";
export * from "./repeat_counts.ts";
export * from "./request_explanation.ts";
export * from "./request_observer.ts";
export * from "./sidecar_node.ts";
export * from "./sidecar_settings.ts";
export * from "./store_availability.ts";
export * from "./store_sync.ts";
export * from "./suspension_detector.ts";
export * from "./worker_channels.ts";
