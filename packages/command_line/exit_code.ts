import type { ErrorKind } from "@oleanderdeck/errors";

/** Exit codes of the command. */
export const EXIT_CODES = {
  /** The command succeeded. */
  ok: 0,
  /**
   * The node rejected the operation, or the command failed in a way that no
   * other code describes.
   */
  failed: 1,
  /** Invalid options or arguments, or a file that cannot be read. */
  usage: 2,
  /** The stored version is not the expected version. */
  conflict: 3,
  /** A document is not valid. */
  invalidDocument: 4,
  /** The node or store cannot be reached, or the outcome is unknown. */
  unreachable: 5,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

const KIND_CODES: Readonly<Partial<Record<ErrorKind, ExitCode>>> = {
  malformed_request: EXIT_CODES.usage,
  conflict: EXIT_CODES.conflict,
  invalid_document: EXIT_CODES.invalidDocument,
  not_ready: EXIT_CODES.unreachable,
  store_unavailable: EXIT_CODES.unreachable,
  outcome_unknown: EXIT_CODES.unreachable,
};

/**
 * Returns the exit code for an error kind.
 *
 * @param kind Error kind in the node's response.
 */
export function exitCodeOf(kind: ErrorKind): ExitCode {
  return KIND_CODES[kind] ?? EXIT_CODES.failed;
}

/** Description of the exit codes for the help of the command. */
export const EXIT_CODE_HELP = [
  "  0  done",
  "  1  failed or rejected",
  "  2  wrong usage, or a file that cannot be read",
  "  3  conflict: the stored version is not the expected one",
  "  4  a document is not valid",
  "  5  node or store not reachable, or outcome unknown",
].join("\n");
