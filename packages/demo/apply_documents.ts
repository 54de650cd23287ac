import { execFile } from "node:child_process";
import { join } from "node:path";
import { promisify } from "node:util";

/** Options of {@linkcode applyDocuments}. */
export interface ApplyDocumentsOptions {
  /** Directory of the built programs. */
  readonly programs: string;
  /** Directory of the documents. */
  readonly documents: string;
  /** Control address of a node. */
  readonly node: string;
  /** Token of an operator. */
  readonly token: string;
}

/**
 * Applies all documents of a directory by the command `oleanderdeck apply`.
 *
 * @throws {Error} If the command fails; the message has its output.
 */
export async function applyDocuments(
  options: ApplyDocumentsOptions,
): Promise<void> {
  const { documents, node, programs, token } = options;
  await promisify(execFile)(process.execPath, [
    join(programs, "oleanderdeck.mjs"),
    "apply",
    documents,
    "--node",
    node,
    "--token",
    token,
  ]);
}
