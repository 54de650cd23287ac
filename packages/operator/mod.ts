/**
 * Operator RPC service: reads and changes documents, drains workers, reports the
 * state of a node, and explains the admission of requests.
 *
 * @module
 */

export * from "./explain_admission.ts";
export * from "./operator_error.ts";
export * from "./operator_routes.ts";
export * from "./operator_sources.ts";
export * from "./operator_tokens.ts";
export { MAX_DOCUMENT_BYTES } from "./document_handlers.ts";
