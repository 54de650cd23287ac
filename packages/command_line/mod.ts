/**
 * The `oleanderdeck` command, which changes and reads documents, drains
 * workers, shows the status of a node, explains decisions and generates load.
 *
 * @module
 */

export type { CommandEnvironment } from "./command_context.ts";
export { runCommandLine } from "./command_line.ts";
export * from "./exit_code.ts";
