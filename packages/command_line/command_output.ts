import type { CommandContext, OutputFormat } from "./command_context.ts";
import type { CommandError } from "./command_error.ts";

/**
 * Writes the result of a command to the standard output.
 *
 * @param context Output format and streams.
 * @param result Value for JSON output and lines for text output.
 */
export function writeResult(
  context: CommandContext,
  result: { readonly json: unknown; readonly lines: readonly string[] },
): void {
  const text = context.output === "json"
    ? JSON.stringify(result.json, toJson, 2)
    : result.lines.join("\n");
  if (text !== "") context.environment.write(`${text}\n`);
}

function toJson(_key: string, value: unknown): unknown {
  return typeof value === "bigint" ? Number(value) : value;
}

/**
 * Formats an error: as text, one line for the message and one for each detail;
 * as JSON, one line.
 *
 * @param error Error that ended the command.
 * @param output Output format.
 */
export function formatError(error: CommandError, output: OutputFormat): string {
  const { kind, message, exitCode, fields, details } = error;
  if (output === "json") {
    return `${
      JSON.stringify({ kind, message, exitCode, ...fields }, toJson)
    }\n`;
  }
  return [
    `oleanderdeck: ${message}`,
    ...details.map((detail) => `  ${detail}`),
  ].join("\n") + "\n";
}

/**
 * Formats rows as a table with aligned columns.
 *
 * @param header Headings of the columns.
 * @param rows Cells of each row.
 * @returns The lines of the table, none if there are no rows.
 */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly (string | number | bigint)[])[],
): readonly string[] {
  if (rows.length === 0) return [];
  const cells = [header, ...rows].map((row) => row.map(String));
  const widths = header.map((_, column) =>
    Math.max(...cells.map((row) => row[column]!.length))
  );
  return cells.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()
  );
}

/**
 * Formats a difference between two documents as one line.
 *
 * @param difference Path of the field and its values as JSON; an absent value
 * is an empty string.
 */
export function formatDifference(
  difference: {
    readonly path: string;
    readonly stored: string;
    readonly proposed: string;
  },
): string {
  const { path, stored, proposed } = difference;
  return `${path || "document"}: stored ${stored || "nothing"}, ` +
    `proposed ${proposed || "nothing"}`;
}
