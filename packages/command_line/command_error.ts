import { Code, ConnectError } from "@connectrpc/connect";
import { errorKindOf } from "@oleanderdeck/operator";
import { InvalidDocumentSchema } from "@oleanderdeck/protocol";
import { EXIT_CODES, type ExitCode, exitCodeOf } from "./exit_code.ts";

/** Options of {@linkcode CommandError}. */
export interface CommandErrorOptions {
  readonly exitCode: ExitCode;
  /** Error kind for scripts, for example `conflict`. */
  readonly kind: string;
  /**
   * Lines that follow the message in text output, for example the faults of a
   * document.
   */
  readonly details?: readonly string[];
  /** Fields added to the error in JSON output. */
  readonly fields?: Readonly<Record<string, unknown>>;
}

/** Error that ends a command with a one-line message and an exit code. */
export class CommandError extends Error {
  override readonly name = "CommandError";
  readonly exitCode: ExitCode;
  readonly kind: string;
  readonly details: readonly string[];
  readonly fields: Readonly<Record<string, unknown>>;

  /**
   * @param message Sentence that says what failed, without a full stop.
   * @param options Exit code, error kind and details.
   */
  constructor(message: string, options: CommandErrorOptions) {
    super(message);
    this.exitCode = options.exitCode;
    this.kind = options.kind;
    this.details = options.details ?? [];
    this.fields = options.fields ?? {};
  }
}

/** Creates the error for invalid options, arguments or files. */
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

/**
 * Reports whether the connection could not be opened, so that no request was
 * sent.
 *
 * @param error Error of the call; its chain of causes is searched.
 */
export function wasNotSent(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  return NOT_CONNECTED.has((error as { code?: unknown }).code) ||
    wasNotSent(error.cause);
}

/**
 * Converts the error of a call into the error that ends the command.
 *
 * @param error Error thrown by the connect-es client.
 * @param node Address of the node, for the message.
 */
export function fromConnectError(
  error: ConnectError,
  node: string,
): CommandError {
  const kind = errorKindOf(error);
  if (kind === undefined) {
    const isServiceMissing = error.code === Code.Unimplemented ||
      error.code === Code.NotFound;
    return new CommandError(
      isServiceMissing
        ? `${node} does not provide the operator service of a node`
        : `The node ${node} did not answer: ${error.rawMessage}`,
      {
        exitCode: isServiceMissing ? EXIT_CODES.failed : EXIT_CODES.unreachable,
        kind: isServiceMissing ? "not_a_node" : "unreachable",
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
