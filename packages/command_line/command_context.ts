import { readFileSync } from "node:fs";
import { parseAddress } from "@oleanderdeck/settings";
import { usageError } from "./command_error.ts";

/** Environment variables, output streams and signals of the process. */
export interface CommandEnvironment {
  /** Environment variables by name. */
  readonly variables: Readonly<Record<string, string | undefined>>;
  /** Writes to the standard output. */
  readonly write: (text: string) => void;
  /** Writes to the standard error stream. */
  readonly writeError: (text: string) => void;
  /** Creates the signal that is aborted when the user interrupts a load run. */
  readonly createInterruptSignal?: () => AbortSignal;
}

/** Supported output formats. */
export const OUTPUT_FORMATS = ["text", "json"] as const;

/** Output format. */
export type OutputFormat = (typeof OUTPUT_FORMATS)[number];

/** Environment variable that holds the control address of the node. */
export const NODE_VARIABLE = "OLEANDERDECK_NODE";

/** Environment variable that holds the token. */
export const TOKEN_VARIABLE = "OLEANDERDECK_TOKEN";

/** Control address used if neither an option nor a variable names one. */
export const DEFAULT_NODE = "127.0.0.1:7001";

const DEFAULT_TIMEOUT_MS = 10_000;

/**
 * Options as parsed by cac, which converts values that look like numbers into
 * numbers.
 */
export type ParsedOptions = Readonly<Record<string, unknown>>;

/**
 * Returns the value of an option as typed. It is read from the arguments,
 * because cac converts `007` and `1e5` into numbers.
 *
 * @param argv Arguments of the process.
 * @param option Name with dashes, for example `--token`.
 * @returns The value, or undefined if the option is absent.
 * @throws {CommandError} If the option occurs more than once or has no value.
 */
export function optionText(
  argv: readonly string[],
  option: string,
): string | undefined {
  const values = argv.flatMap((argument, index) => {
    if (argument === option) return [argv[index + 1] ?? ""];
    return argument.startsWith(`${option}=`)
      ? [argument.slice(option.length + 1)]
      : [];
  });
  if (values.length > 1) throw usageError(`${option} is given more than once`);
  if (values[0] === "") throw usageError(`${option} needs a value`);
  return values[0];
}

/**
 * Returns the value of an option that takes a non-negative integer.
 *
 * @param argv Arguments of the process.
 * @param option Name with dashes, for example `--timeout`.
 * @returns The number, or undefined if the option is absent.
 * @throws {CommandError} If the option occurs more than once or its value is
 * not a non-negative integer.
 */
export function optionNumber(
  argv: readonly string[],
  option: string,
): number | undefined {
  const text = optionText(argv, option);
  if (text === undefined) return undefined;
  const value = Number(text);
  if (/^[0-9]+$/.test(text) && Number.isSafeInteger(value)) return value;
  throw usageError(`${option} needs a non-negative integer, not ${text}`);
}

/** Options that all commands share, and the environment of the command. */
export interface CommandContext {
  readonly argv: readonly string[];
  readonly environment: CommandEnvironment;
  /** Format of the result and of errors. */
  readonly output: OutputFormat;
  /** Control address of the node. */
  readonly node: string;
  /** Whether the `--node` option is present. */
  readonly hasNodeOption: boolean;
  readonly token: string | undefined;
  /** Timeout of one call to the node, in milliseconds. */
  readonly timeoutMs: number;
}

function readToken(
  argv: readonly string[],
  environment: CommandEnvironment,
): string | undefined {
  const token = optionText(argv, "--token");
  const path = optionText(argv, "--token-file");
  if (token !== undefined && path !== undefined) {
    throw usageError("Only one of --token and --token-file is allowed");
  }
  if (path === undefined) return token ?? environment.variables[TOKEN_VARIABLE];
  try {
    return readFileSync(path, "utf8").trim();
  } catch (error) {
    throw usageError(
      `The token file cannot be read: ${(error as Error).message}`,
    );
  }
}

/**
 * Reads only the `--output` option, so that errors in the other options can be
 * written in the requested format.
 *
 * @param argv Arguments of the process.
 * @returns The output format, `text` if the option is absent.
 * @throws {CommandError} If the format is not supported.
 */
export function outputFormat(argv: readonly string[]): OutputFormat {
  const text = optionText(argv, "--output") ?? "text";
  const format = OUTPUT_FORMATS.find((each) => each === text);
  if (format === undefined) {
    throw usageError(`--output must be text or json, not ${text}`);
  }
  return format;
}

/**
 * Reads the options that all commands share.
 *
 * @param argv Arguments of the process.
 * @param environment Environment variables and output streams.
 * @returns The options, with defaults for those that are absent.
 * @throws {CommandError} If an option is invalid.
 */
export function commandContext(
  argv: readonly string[],
  environment: CommandEnvironment,
): CommandContext {
  const nodeOption = optionText(argv, "--node");
  const node = nodeOption ?? environment.variables[NODE_VARIABLE] ??
    DEFAULT_NODE;
  if (parseAddress(node) === undefined) {
    throw usageError(
      `The node address must have the form ip:port or [ip]:port, not ${node}`,
    );
  }
  return {
    argv,
    environment,
    output: outputFormat(argv),
    node,
    hasNodeOption: nodeOption !== undefined,
    token: readToken(argv, environment),
    timeoutMs: optionNumber(argv, "--timeout") ?? DEFAULT_TIMEOUT_MS,
  };
}
