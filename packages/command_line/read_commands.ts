import type { CommandContext } from "./command_context.ts";
import { CommandError } from "./command_error.ts";
import {
  formatDifference,
  formatTable,
  writeResult,
} from "./command_output.ts";
import { notStoredError, readStored } from "./document_change.ts";
import { readDocumentFiles, requireDocumentName } from "./document_files.ts";
import { EXIT_CODES, type ExitCode } from "./exit_code.ts";
import { withConnection } from "./operator_connection.ts";

interface DiffResult {
  readonly name: string;
  readonly storedVersion: number;
  readonly differences: readonly {
    readonly path: string;
    readonly stored: string;
    readonly proposed: string;
  }[];
}

/**
 * Validates documents locally and, if the `--node` option is present, also on
 * the node.
 */
export async function validate(
  context: CommandContext,
  paths: readonly string[],
): Promise<ExitCode> {
  const documents = readDocumentFiles(paths);
  if (context.hasNodeOption) {
    await withConnection(context, async (connection) => {
      for (const { name, content, source } of documents) {
        const { faults } = await connection.call((client) =>
          client.validate({ name, content })
        );
        if (faults.length === 0) continue;
        throw new CommandError(`The node rejects ${source}`, {
          exitCode: EXIT_CODES.invalidDocument,
          kind: "invalid_document",
          details: faults.map(({ path, message }) => `${path}: ${message}`),
          fields: {
            faults: faults.map(({ path, message }) => ({ path, message })),
          },
        });
      }
    });
  }
  writeResult(context, {
    json: documents.map(({ source, name }) => ({ source, name })),
    lines: documents.map(({ source, name }) => `${source}: ${name} is valid`),
  });
  return EXIT_CODES.ok;
}

/** Compares documents in files with the stored documents. */
export async function diff(
  context: CommandContext,
  paths: readonly string[],
): Promise<ExitCode> {
  const documents = readDocumentFiles(paths);
  const results: DiffResult[] = [];
  await withConnection(context, async (connection) => {
    for (const { name, content } of documents) {
      const response = await connection.call((client) =>
        client.diff({ name, content })
      );
      results.push({
        name,
        storedVersion: Number(response.storedVersion),
        differences: response.differences
          .map(({ path, stored, proposed }) => ({ path, stored, proposed })),
      });
    }
  });
  writeResult(context, {
    json: results,
    lines: results.flatMap(({ name, storedVersion, differences }) => [
      `${name}: ${describeDifference(storedVersion, differences.length)}`,
      ...differences.map((each) => `  ${formatDifference(each)}`),
    ]),
  });
  return EXIT_CODES.ok;
}

function describeDifference(storedVersion: number, count: number): string {
  if (storedVersion === 0) return "not stored";
  return count === 0
    ? `equal to version ${storedVersion}`
    : `differs from version ${storedVersion}`;
}

/** Shows one stored document. */
export async function get(
  context: CommandContext,
  name: string,
): Promise<ExitCode> {
  requireDocumentName(name);
  const document = await withConnection(
    context,
    (connection) => readStored(connection, name),
  );
  if (document === undefined) throw notStoredError(name);
  const { version, changeId } = document;
  const content = JSON.parse(document.content);
  writeResult(context, {
    json: { name, version, changeId, content },
    lines: [
      `// ${name}, version ${version}, change ${changeId}`,
      JSON.stringify(content, null, 2),
    ],
  });
  return EXIT_CODES.ok;
}

/** Lists the stored documents whose names start with a prefix, or all. */
export async function list(
  context: CommandContext,
  prefix: string | undefined,
): Promise<ExitCode> {
  const { documents } = await withConnection(
    context,
    (connection) =>
      connection.call((client) => client.list({ prefix: prefix ?? "" })),
  );
  writeResult(context, {
    json: documents.map(({ name, version, changeId }) => ({
      name,
      version,
      changeId,
    })),
    lines: formatTable(
      ["NAME", "VERSION", "CHANGE"],
      documents.map(({ name, version, changeId }) => [name, version, changeId]),
    ),
  });
  return EXIT_CODES.ok;
}
