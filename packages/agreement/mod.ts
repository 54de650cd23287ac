/**
 * Organisation agreements and service policies: their schemas, validation that
 * reports all faults at once, comparison of two documents, and the compiled
 * form in which calls look up policies and rules.
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
