import { execFile } from "node:child_process";
import { join } from "node:path";
import { promisify } from "node:util";

/** Options of {@linkcode applyDocuments}. */
export interface ApplyDocumentsOptions {
  /** Directory that contains the built programs. */
  readonly programs: string;
  /** Directory that contains the configuration documents. */
  readonly documents: string;
  /** Control address of the node that receives the documents. */
  readonly node: string;
  /** Operator token. */
  readonly token: string;
}

/**
 * Applies all documents of a directory with the command `oleanderdeck apply`.
 *
 * @throws {Error} If the command fails. The message contains its error output.
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
