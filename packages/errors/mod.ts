/**
 * The closed list of error kinds, the table of the answers that callers and
 * operators get for each kind, and the error class that carries a kind.
 *
 * @module
 */

export * from "./deck_error.ts";
export * from "./error_kind.ts";
