import { readFileSync } from "node:fs";
import { basename } from "node:path";
import { type CommandContext } from "./command_context.ts";
import { CommandError, usageError } from "./command_error.ts";
import { writeResult } from "./command_output.ts";
import { EXIT_CODES, type ExitCode } from "./exit_code.ts";

/** File name that stands for the standard input. */
const STANDARD_INPUT = "-";

/** Log events of a request or call that ended without a worker's response. */
const FAILURE_EVENTS = [
  "call_refused",
  "call_failed",
  "request_failed",
  "request_refused",
];

/** Log line of a request or of a call made for it. */
export interface RequestLogLine {
  /** Node that wrote the line, or the log file if the line names no node. */
  readonly source: string;
  /** Time of the line in milliseconds since 1970. */
  readonly time: number;
  /** Identity of the request or of the call made for it. */
  readonly requestId: string;
  /** Name of the log event. */
  readonly event: string;
  /** Other fields of the line. */
  readonly fields: Readonly<Record<string, string>>;
}

/**
 * Finds the log lines of a request and of the calls made for it. The identity
 * of such a call is that of its request, a dot and a suffix.
 *
 * @param text Log lines of one or more nodes.
 * @param options Identity of the request and name of the log file.
 * @returns The lines in the order of the log.
 */
export function findRequestLogLines(
  text: string,
  options: { readonly requestId: string; readonly source: string },
): readonly RequestLogLine[] {
  const { requestId, source } = options;
  return text.split("\n").flatMap((line) => {
    if (!line.includes(requestId)) return [];
    const start = line.indexOf("level=");
    if (start < 0) return [];
    const { event, level: _level, request, time, ...fields } = readFields(
      line.slice(start),
    );
    const isRelated = request === requestId ||
      request?.startsWith(`${requestId}.`);
    if (!isRelated || request === undefined || event === undefined) return [];
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
 * Formats the log lines of a request as a timeline, in which calls are indented
 * according to their depth. The last line names the first failure of the
 * deepest call.
 *
 * @param lines Log lines of one request.
 * @returns The lines of the timeline.
 */
export function formatTimeline(lines: readonly RequestLogLine[]): string[] {
  const sorted = [...lines].sort((a, b) => a.time - b.time);
  const start = sorted[0]?.time ?? 0;
  const rows = sorted.map(({ event, fields, requestId, source, time }) => {
    const depth = requestId.split(".").length - 1;
    const details = Object.entries(fields)
      .map(([name, value]) => `${name}=${value}`).join(" ");
    const elapsed = `+${String(time - start).padStart(5)} ms`;
    return `${elapsed}  ${source}  ${"  ".repeat(depth)}${event} ${details}`;
  });
  return [...rows, ...formatCause(sorted)];
}

function formatCause(sorted: readonly RequestLogLine[]): string[] {
  const failures = sorted.filter(({ event }) => FAILURE_EVENTS.includes(event));
  const depth = ({ requestId }: RequestLogLine) => requestId.split(".").length;
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
 * Shows the timeline of a request from the logs of the nodes that handled it.
 *
 * @param context Output streams and format.
 * @param requestId Identity of the request.
 * @param files Log files; `-` stands for the standard input.
 * @returns The exit code.
 * @throws {CommandError} If a file cannot be read or no line refers to the
 * request.
 */
export function explainRequest(
  context: CommandContext,
  requestId: string,
  files: readonly string[],
): ExitCode {
  const lines = files.flatMap((file) =>
    findRequestLogLines(readLog(file), { requestId, source: basename(file) })
  );
  if (lines.length === 0) {
    throw new CommandError(`No log line refers to the request ${requestId}`, {
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
