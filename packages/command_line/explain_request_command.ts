import { readFileSync } from "node:fs";
import { basename } from "node:path";
import { type CommandContext } from "./command_context.ts";
import { CommandError, usageError } from "./command_error.ts";
import { writeResult } from "./command_output.ts";
import { EXIT_CODES, type ExitCode } from "./exit_code.ts";

/** Stands for the standard input in the list of files. */
const STANDARD_INPUT = "-";

/** Events that end a request or a call without a worker's answer. */
const FAILURE_EVENTS = [
  "call_refused",
  "call_failed",
  "request_failed",
  "request_refused",
];

/** One line of a log that concerns a request. */
export interface RequestLine {
  /** Node that wrote the line, or the file if the line does not tell. */
  readonly source: string;
  /** Time of the line in milliseconds since 1970. */
  readonly time: number;
  readonly requestId: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, string>>;
}

/**
 * Finds the lines of a request and of the calls that were made for it.
 *
 * @param text Log lines of one or many nodes.
 * @param options Identity of the request and name of the log.
 */
export function findRequestLines(
  text: string,
  options: { readonly requestId: string; readonly source: string },
): readonly RequestLine[] {
  const { requestId, source } = options;
  return text.split("\n").flatMap((line) => {
    if (!line.includes(requestId)) return [];
    const start = line.indexOf("level=");
    if (start < 0) return [];
    const { event, level: _level, request, time, ...fields } = readFields(
      line.slice(start),
    );
    const isOfChain = request === requestId ||
      request?.startsWith(`${requestId}.`);
    if (!isOfChain || request === undefined || event === undefined) return [];
    const prefix = line.slice(0, start).trim().split(/\s+/).at(-1);
    return [{
      source: prefix || source,
      time: Date.parse(time ?? ""),
      requestId: request,
      event,
      fields,
    }];
  });
}

function readFields(text: string): Record<string, string> {
  return Object.fromEntries(
    [...text.matchAll(/([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)/g)].map((
      [, name, value],
    ) => [name, value!.startsWith('"') ? JSON.parse(value!) as string : value]),
  );
}

/**
 * Writes the lines of a request as a timeline, calls indented below the request
 * that they were made for, and names the first failure of the deepest call.
 *
 * @param lines Lines of one request.
 */
export function formatTimeline(lines: readonly RequestLine[]): string[] {
  const sorted = [...lines].sort((a, b) => a.time - b.time);
  const start = sorted[0]?.time ?? 0;
  const rows = sorted.map(({ event, fields, requestId, source, time }) => {
    const depth = requestId.split(".").length - 1;
    const details = Object.entries(fields)
      .map(([name, value]) => `${name}=${value}`).join(" ");
    const elapsed = `+${String(time - start).padStart(5)} ms`;
    return `${elapsed}  ${source}  ${"  ".repeat(depth)}${event} ${details}`;
  });
  return [...rows, ...causeOf(sorted)];
}

function causeOf(sorted: readonly RequestLine[]): string[] {
  const failures = sorted.filter(({ event }) => FAILURE_EVENTS.includes(event));
  const depth = ({ requestId }: RequestLine) => requestId.split(".").length;
  const deepest = Math.max(0, ...failures.map(depth));
  const cause = failures.find((line) => depth(line) === deepest);
  if (cause === undefined) return ["No failure was logged"];
  const { event, fields, requestId, source } = cause;
  return [
    `First failure of the deepest call: ${event} at ${source}, ` +
    `reason ${fields["reason"] ?? "not stated"}, call ${requestId}`,
  ];
}

/**
 * Explains a request by the logs of the nodes that it passed.
 *
 * @param context Streams and form of output.
 * @param requestId Identity of the request.
 * @param files Log files; `-` stands for the standard input.
 */
export function explainRequest(
  context: CommandContext,
  requestId: string,
  files: readonly string[],
): ExitCode {
  const lines = files.flatMap((file) =>
    findRequestLines(readLog(file), { requestId, source: basename(file) })
  );
  if (lines.length === 0) {
    throw new CommandError(`No line concerns the request ${requestId}`, {
      exitCode: EXIT_CODES.failed,
      kind: "not_found",
    });
  }
  writeResult(context, { json: lines, lines: formatTimeline(lines) });
  return EXIT_CODES.ok;
}

function readLog(file: string): string {
  try {
    return readFileSync(file === STANDARD_INPUT ? 0 : file, "utf8");
  } catch (error) {
    throw usageError(`A file cannot be read: ${(error as Error).message}`);
  }
}
