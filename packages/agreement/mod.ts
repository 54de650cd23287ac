/**
 * Organisation agreements and service policies: their schema, validation with
 * all faults at once, the difference between two documents, and the compiled
 * lookup that the call path uses.
 *
 * @module
 */

export * from "./policy_view.ts";
export * from "./agreement_schema.ts";
export * from "./bounded_cache.ts";
export * from "./compiled_policy.ts";
export * from "./document.ts";
export * from "./document_difference.ts";
export * from "./document_reference.ts";
export { RuleTable } from "./rule_table.ts";
