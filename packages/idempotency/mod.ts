/**
 * Permits and the ledger of non-idempotent requests.
 *
 * @module
 */

export {};
