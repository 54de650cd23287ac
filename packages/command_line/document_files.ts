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
  /** Name under which it is stored. */
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

/** Greatest number of files of one command. */
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

function repeatedNames(
  documents: readonly DocumentFile[],
): readonly string[] {
  const sources = new Map<string, string>();
  return documents.flatMap(({ name, source }) => {
    const earlier = sources.get(name);
    sources.set(name, source);
    return earlier === undefined
      ? []
      : [`${source}: ${name} is also given by ${earlier}`];
  });
}

/**
 * Reads documents in JSON with comments and checks all of them.
 *
 * @param paths Files, or directories that are searched for `.json` and `.jsonc`.
 * @throws {CommandError} If a file cannot be read or any document has a fault;
 * the error lists the faults of all files with line and column.
 */
export function readDocumentFiles(
  paths: readonly string[],
): readonly DocumentFile[] {
  const checked = readChecked(paths);
  const located = checked.flatMap(({ source, faults }) =>
    faults.map((fault) => ({ source, ...fault }))
  );
  const documents = checked.flatMap(({ document }) => document ?? []);
  const details = [
    ...located.map((fault) => formatIssue(fault.source, fault)),
    ...repeatedNames(documents),
  ];
  if (details.length === 0) return documents;
  const invalid = checked.filter(({ faults }) => faults.length > 0).length;
  throw new CommandError(
    invalid > 0
      ? `${invalid} of ${checked.length} documents are not valid`
      : "A document is given by more than one file",
    {
      exitCode: EXIT_CODES.invalidDocument,
      kind: "invalid_document",
      details,
      fields: { faults: located },
    },
  );
}

function readChecked(paths: readonly string[]): readonly CheckedFile[] {
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
 * Checks the name of a document.
 *
 * @throws {CommandError} If the name has another form.
 */
export function requireName(name: string): void {
  if (parseDocumentName(name) !== undefined) return;
  throw usageError(
    `A name is agreement/<organisation> or policy/<service>, not ${name}`,
  );
}
