/**
 * Retry allowance of a call chain, the decision to retry, the retry budget of
 * each organisation, and the bound of the repeats of a service.
 *
 * @module
 */

export * from "./allowance.ts";
export * from "./allowance_ledger.ts";
export * from "./root_allowance_cache.ts";
export * from "./base_repeat_share.ts";
export * from "./repeat_budget.ts";
export * from "./retry_budget.ts";
export * from "./retry_policy.ts";
