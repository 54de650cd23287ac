/**
 * Node beside one worker on hosts whose workers are reached from their own host
 * only: each call passes the node of its caller and the node of its worker.
 *
 * @module
 */

export * from "./call_graph.ts";
export * from "./fleet_repeat_limit.ts";
export * from "./peer_state_sync.ts";
export * from "./load_reporter.ts";
export * from "./peer_server.ts";
export * from "./repeat_counts.ts";
export * from "./request_observer.ts";
export * from "./sidecar_node.ts";
export * from "./sidecar_settings.ts";
export * from "./store_sync.ts";
export * from "./worker_channels.ts";
