/**
 * Permits and the ledger of non-idempotent requests. A request is executed at
 * most once under a permit; a repeat waits for the running execution or
 * receives the recorded outcome.
 *
 * @module
 */

export * from "./permit.ts";
export * from "./permit_ledger.ts";
