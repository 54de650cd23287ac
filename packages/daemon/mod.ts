/**
 * The oleanderdeckd process: start, wiring of all packages, and graceful stop.
 *
 * @module
 */

export * from "./node.ts";
