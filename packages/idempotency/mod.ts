/**
 * Permits and the ledger of non-idempotent requests: a request begins at most
 * once under a permit, and repeated requests join it or get its outcome.
 *
 * @module
 */

export * from "./permit.ts";
export * from "./permit_ledger.ts";
