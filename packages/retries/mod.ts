/**
 * Limits on requests that are sent again: the retry allowance of a call chain,
 * the retry policy, the retry budget of each organisation at a node, and the
 * budget of the repeats that reach a worker.
 *
 * @module
 */

export * from "./allowance.ts";
export * from "./allowance_ledger.ts";
export * from "./root_allowance_cache.ts";
export * from "./base_repeat_share.ts";
export * from "./repeat_budget.ts";
export * from "./repeat_demand.ts";
export * from "./retry_budget.ts";
export * from "./retry_policy.ts";
