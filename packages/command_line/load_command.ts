import { readFileSync, writeFileSync } from "node:fs";
import {
  formatProgress,
  formatReport,
  type LoadDescription,
  loadDescriptionSchema,
  type LoadTestReport,
  runLoad,
} from "@oleanderdeck/load";
import { formatIssue, readJsonc } from "@oleanderdeck/settings";
import { type CommandContext, optionText } from "./command_context.ts";
import { CommandError, usageError } from "./command_error.ts";
import { writeResult } from "./command_output.ts";
import { EXIT_CODES, type ExitCode } from "./exit_code.ts";

function readDescription(path: string): LoadDescription {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    throw usageError(`A file cannot be read: ${(error as Error).message}`);
  }
  return readJsonc(text, loadDescriptionSchema).caseOf<LoadDescription>({
    Left: (faults) => {
      throw new CommandError("The load description is not valid", {
        exitCode: EXIT_CODES.usage,
        kind: "invalid_description",
        details: faults.map((fault) => formatIssue(path, fault)),
        fields: { faults },
      });
    },
    Right: (description) => description,
  });
}

/**
 * Writes the report. It is also called before the run, so that a path that
 * cannot be written ends the command before any load is sent.
 */
function writeReport(path: string, text: string): void {
  try {
    writeFileSync(path, text);
  } catch (error) {
    throw usageError(
      `The report cannot be written: ${(error as Error).message}`,
    );
  }
}

function wasNeverConnected(report: LoadTestReport): boolean {
  const { outcomes } = report.totals.calls;
  return report.totals.sent > 0 &&
    outcomes.not_connected === report.totals.sent;
}

/**
 * Sends the calls of a load description. Writes progress lines to the standard
 * error stream and the report to the standard output.
 *
 * @param context Options and streams.
 * @param path File with the load description.
 * @param isQuiet Whether to omit the progress lines.
 * @returns The exit code.
 * @throws {CommandError} If the description is invalid, the report cannot be
 * written or no call reached a node.
 */
export async function load(
  context: CommandContext,
  path: string,
  isQuiet: boolean,
): Promise<ExitCode> {
  const { argv, environment } = context;
  const reportPath = optionText(argv, "--report");
  const description = readDescription(path);
  if (reportPath !== undefined) writeReport(reportPath, "");
  const report = await runLoad(description, {
    signal: environment.createInterruptSignal?.(),
    onProgress: isQuiet
      ? undefined
      : (progress) => environment.writeError(`${formatProgress(progress)}\n`),
  });
  if (reportPath !== undefined) {
    writeReport(reportPath, `${JSON.stringify(report, null, 2)}\n`);
  }
  writeResult(context, { json: report, lines: formatReport(report) });
  if (!wasNeverConnected(report)) return EXIT_CODES.ok;
  throw new CommandError("No call reached a node", {
    exitCode: EXIT_CODES.unreachable,
    kind: "unreachable",
  });
}
