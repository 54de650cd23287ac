/**
 * Organisation agreements and service policies: their schema, validation with
 * all faults at once, the difference between two documents, and the compiled
 * lookup that the call path uses.
 *
 * @module
 */

export * from "./policy_view.ts";
