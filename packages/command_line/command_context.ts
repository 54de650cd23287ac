import { readFileSync } from "node:fs";
import { parseAddress } from "@oleanderdeck/settings";
import { usageError } from "./command_error.ts";

/** What the command gets from its process. */
export interface CommandEnvironment {
  readonly variables: Readonly<Record<string, string | undefined>>;
  /** Writes to the standard output. */
  readonly write: (text: string) => void;
  /** Writes to the standard error stream. */
  readonly writeError: (text: string) => void;
  /** Makes the signal by which the user ends a load run early. */
  readonly interruption?: () => AbortSignal;
}

/** Forms of output. */
export const OUTPUT_FORMS = ["text", "json"] as const;

/** Form of output. */
export type OutputForm = (typeof OUTPUT_FORMS)[number];

/** Variable with the control address of the node. */
export const NODE_VARIABLE = "OLEANDERDECK_NODE";

/** Variable with the token. */
export const TOKEN_VARIABLE = "OLEANDERDECK_TOKEN";

/** Control address when neither option nor variable names one. */
export const DEFAULT_NODE = "127.0.0.1:7001";

const DEFAULT_TIMEOUT_MS = 10_000;

/** Options as parsed by cac, which turns texts that look like numbers into numbers. */
export type ParsedOptions = Readonly<Record<string, unknown>>;

/**
 * Finds the text of an option in the arguments, because cac turns `007` and
 * `1e5` into numbers.
 *
 * @param argv Arguments of the process.
 * @param option Name with dashes, for example `--token`.
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
 * Reads an option that is a whole number.
 *
 * @param argv Arguments of the process.
 * @param option Name with dashes.
 */
export function optionNumber(
  argv: readonly string[],
  option: string,
): number | undefined {
  const text = optionText(argv, option);
  if (text === undefined) return undefined;
  const value = Number(text);
  if (/^[0-9]+$/.test(text) && Number.isSafeInteger(value)) return value;
  throw usageError(`${option} needs a whole number, not ${text}`);
}

/** Options that all commands share. */
export interface CommandContext {
  readonly argv: readonly string[];
  readonly environment: CommandEnvironment;
  readonly output: OutputForm;
  /** Control address of the node. */
  readonly node: string;
  /** Whether the node was named by the option. */
  readonly isNodeNamed: boolean;
  readonly token: string | undefined;
  /** Time for one call, in milliseconds. */
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
 * Reads the form of output alone, for errors in the other options.
 *
 * @param argv Arguments of the process.
 */
export function outputForm(argv: readonly string[]): OutputForm {
  const text = optionText(argv, "--output") ?? "text";
  const form = OUTPUT_FORMS.find((each) => each === text);
  if (form === undefined) {
    throw usageError(`--output is text or json, not ${text}`);
  }
  return form;
}

/**
 * Reads the options that all commands share.
 *
 * @param argv Arguments of the process.
 * @param environment Variables and streams.
 * @throws {CommandError} If an option is wrong.
 */
export function commandContext(
  argv: readonly string[],
  environment: CommandEnvironment,
): CommandContext {
  const named = optionText(argv, "--node");
  const node = named ?? environment.variables[NODE_VARIABLE] ?? DEFAULT_NODE;
  if (parseAddress(node) === undefined) {
    throw usageError(
      `The node's address has the form ip:port or [ip]:port, not ${node}`,
    );
  }
  return {
    argv,
    environment,
    output: outputForm(argv),
    node,
    isNodeNamed: named !== undefined,
    token: readToken(argv, environment),
    timeoutMs: optionNumber(argv, "--timeout") ?? DEFAULT_TIMEOUT_MS,
  };
}
