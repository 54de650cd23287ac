/**
 * Operator RPC service: changes and reads documents, controls workers, shows
 * the state of the system, and explains decisions about requests.
 *
 * @module
 */

export * from "./explanation.ts";
export * from "./operator_error.ts";
export * from "./operator_routes.ts";
export * from "./operator_sources.ts";
export * from "./operator_tokens.ts";
export { MAX_DOCUMENT_BYTES } from "./document_calls.ts";
