/**
 * Retry allowance of a call chain, the decision to retry, and the retry budget
 * of each organisation.
 *
 * @module
 */

export * from "./allowance.ts";
export * from "./allowance_ledger.ts";
export * from "./caller_retries.ts";
export * from "./retry_budget.ts";
export * from "./retry_policy.ts";
