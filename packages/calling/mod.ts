/**
 * Calling side of a node: the HTTP proxy for the callers on its host, the
 * routing of their requests to services, the choice of a worker, and repeats.
 *
 * @module
 */

export type { AnswerCounts } from "./_answer_writer.ts";
export * from "./bounded_input.ts";
export * from "./call_task.ts";
export * from "./caller_identity.ts";
export * from "./caller_proxy.ts";
export * from "./caller_proxy_observer.ts";
export * from "./caller_proxy_options.ts";
export * from "./fair_shares.ts";
export * from "./client_limits.ts";
export * from "./connection_table.ts";
export * from "./local_channel.ts";
export * from "./peer_channel.ts";
export * from "./peer_channel_options.ts";
export * from "./root_admission.ts";
export * from "./request_quota.ts";
export * from "./root_shedding.ts";
export * from "./routing_explanation.ts";
export * from "./route_table.ts";
export * from "./worker_channel.ts";
export * from "./worker_choice.ts";
export * from "./worker_pace.ts";
export * from "./worker_statements.ts";
export * from "./worker_subset.ts";
