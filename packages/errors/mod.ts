/**
 * The closed list of error kinds, the table from a kind to the answer that
 * callers and operators get, and the error class that carries a kind.
 *
 * @module
 */

export * from "./deck_error.ts";
export * from "./error_kind.ts";
