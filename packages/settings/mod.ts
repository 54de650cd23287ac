/**
 * Settings in JSON with comments, checked by a schema that reports all faults
 * at once with line and column, and the clock that all packages share.
 *
 * @module
 */

export * from "./clock.ts";
