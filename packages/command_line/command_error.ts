import { Code, ConnectError } from "@connectrpc/connect";
import { errorKindOf } from "@oleanderdeck/operator";
import { InvalidDocumentSchema } from "@oleanderdeck/protocol";
import { EXIT_CODES, type ExitCode, exitCodeOf } from "./exit_code.ts";

/** Options of {@linkcode CommandError}. */
export interface CommandErrorOptions {
  readonly exitCode: ExitCode;
  /** Kind for scripts, for example `conflict`. */
  readonly kind: string;
  /** Further lines of text output, for example faults or differences. */
  readonly details?: readonly string[];
  /** Further fields of JSON output. */
  readonly fields?: Readonly<Record<string, unknown>>;
}

/** Ends a command with one line of explanation and an exit code. */
export class CommandError extends Error {
  override readonly name = "CommandError";
  readonly exitCode: ExitCode;
  readonly kind: string;
  readonly details: readonly string[];
  readonly fields: Readonly<Record<string, unknown>>;

  /**
   * @param message What failed, a sentence without a full stop.
   * @param options Exit code and details.
   */
  constructor(message: string, options: CommandErrorOptions) {
    super(message);
    this.exitCode = options.exitCode;
    this.kind = options.kind;
    this.details = options.details ?? [];
    this.fields = options.fields ?? {};
  }
}

/** Makes the error for wrong options, arguments or files. */
export function usageError(message: string): CommandError {
  return new CommandError(message, {
    exitCode: EXIT_CODES.usage,
    kind: "usage",
  });
}

const NOT_CONNECTED: ReadonlySet<unknown> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

/** Whether a connection was never opened, so that nothing was sent. */
export function wasNotSent(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  return NOT_CONNECTED.has((error as { code?: unknown }).code) ||
    wasNotSent(error.cause);
}

/**
 * Turns the error of a call into the error of the command.
 *
 * @param error Error that the connect-es client threw.
 * @param node Address of the node, for the message.
 */
export function toCommandError(
  error: ConnectError,
  node: string,
): CommandError {
  const kind = errorKindOf(error);
  if (kind === undefined) {
    const isMissing = error.code === Code.Unimplemented ||
      error.code === Code.NotFound;
    return new CommandError(
      isMissing
        ? `${node} does not serve the operator calls of a node`
        : `The node ${node} did not answer: ${error.rawMessage}`,
      {
        exitCode: isMissing ? EXIT_CODES.failed : EXIT_CODES.unreachable,
        kind: isMissing ? "not_a_node" : "unreachable",
      },
    );
  }
  const faults = error.findDetails(InvalidDocumentSchema)
    .flatMap((detail) => detail.faults)
    .map(({ path, message }) => ({ path, message }));
  return new CommandError(error.rawMessage, {
    exitCode: exitCodeOf(kind),
    kind,
    details: faults.map(({ path, message }) =>
      path === "" ? message : `${path}: ${message}`
    ),
    fields: faults.length > 0 ? { faults } : {},
  });
}
