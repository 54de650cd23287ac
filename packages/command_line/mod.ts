/**
 * The `oleanderdeck` command: documents, workers, status, explanations and load
 * runs.
 *
 * @module
 */

export type { CommandEnvironment } from "./command_context.ts";
export { runCommandLine } from "./command_line.ts";
export * from "./exit_code.ts";
