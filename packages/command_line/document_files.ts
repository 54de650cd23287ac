import { readdirSync, readFileSync, statSync } from "node:fs";
import { extname, join } from "node:path";
import {
  anyDocumentSchema,
  nameOfDocument,
  parseDocumentName,
} from "@oleanderdeck/agreement";
import {
  formatIssue,
  type LocatedIssue,
  readJsonc,
} from "@oleanderdeck/settings";
import { CommandError, usageError } from "./command_error.ts";
import { EXIT_CODES } from "./exit_code.ts";

/** Document read from a file. */
export interface DocumentFile {
  /** Path of the file. */
  readonly source: string;
  /** Name under which the document is stored. */
  readonly name: string;
  /** JSON text without comments. */
  readonly content: string;
}

interface CheckedFile {
  readonly document: DocumentFile | undefined;
  readonly source: string;
  readonly faults: readonly LocatedIssue[];
}

const EXTENSIONS = [".json", ".jsonc"];

/** Maximum number of files read by one command. */
const MAX_FILES = 10_000;

function listFiles(path: string): readonly string[] {
  if (!statSync(path).isDirectory()) return [path];
  return readdirSync(path, { recursive: true, withFileTypes: true })
    .filter((entry) =>
      entry.isFile() && EXTENSIONS.includes(extname(entry.name))
    )
    .map((entry) => join(entry.parentPath, entry.name))
    .sort();
}

function checkText(source: string, text: string): CheckedFile {
  return readJsonc(text, anyDocumentSchema).caseOf<CheckedFile>({
    Left: (faults) => ({ source, faults, document: undefined }),
    Right: (value) => ({
      source,
      faults: [],
      document: {
        source,
        name: nameOfDocument(value)!,
        content: JSON.stringify(value),
      },
    }),
  });
}

function duplicateNames(
  documents: readonly DocumentFile[],
): readonly string[] {
  const sources = new Map<string, string>();
  return documents.flatMap(({ name, source }) => {
    const earlier = sources.get(name);
    sources.set(name, source);
    return earlier === undefined
      ? []
      : [`${source}: ${name} is also defined in ${earlier}`];
  });
}

/**
 * Reads documents in JSON with comments and validates all of them.
 *
 * @param paths Files, or directories that are searched recursively for `.json`
 * and `.jsonc` files.
 * @returns The documents, at least one.
 * @throws {CommandError} If a file cannot be read, no file is found, a document
 * is invalid or two files define the same document; the error lists the faults
 * of all files with line and column.
 */
export function readDocumentFiles(
  paths: readonly string[],
): readonly DocumentFile[] {
  const checked = readAndCheck(paths);
  const located = checked.flatMap(({ source, faults }) =>
    faults.map((fault) => ({ source, ...fault }))
  );
  const documents = checked.flatMap(({ document }) => document ?? []);
  const details = [
    ...located.map((fault) => formatIssue(fault.source, fault)),
    ...duplicateNames(documents),
  ];
  if (details.length === 0) return documents;
  const invalid = checked.filter(({ faults }) => faults.length > 0).length;
  throw new CommandError(
    invalid > 0
      ? `${invalid} of ${checked.length} documents are not valid`
      : "A document is defined in more than one file",
    {
      exitCode: EXIT_CODES.invalidDocument,
      kind: "invalid_document",
      details,
      fields: { faults: located },
    },
  );
}

function readAndCheck(paths: readonly string[]): readonly CheckedFile[] {
  try {
    const files = paths.flatMap(listFiles);
    if (files.length === 0) throw usageError("No documents were found");
    if (files.length > MAX_FILES) {
      throw usageError(`More than ${MAX_FILES} files are given`);
    }
    return files.map((path) => checkText(path, readFileSync(path, "utf8")));
  } catch (error) {
    if (error instanceof CommandError) throw error;
    throw usageError(`A file cannot be read: ${(error as Error).message}`);
  }
}

/**
 * Checks that a document name is well-formed.
 *
 * @param name Name of the document.
 * @throws {CommandError} If it is not `agreement/<organisation>` or
 * `policy/<service>`.
 */
export function requireDocumentName(name: string): void {
  if (parseDocumentName(name) !== undefined) return;
  throw usageError(
    `A document name must be agreement/<organisation> or policy/<service>, not ${name}`,
  );
}
