import { randomUUID } from "node:crypto";
import { diffDocuments } from "@oleanderdeck/agreement";
import {
  type CommandContext,
  optionNumber,
  optionText,
} from "./command_context.ts";
import { CommandError, usageError } from "./command_error.ts";
import { writeResult } from "./command_output.ts";
import {
  findChange,
  makeChange,
  notStoredError,
  readStored,
} from "./document_change.ts";
import {
  type DocumentFile,
  readDocumentFiles,
  requireDocumentName,
} from "./document_files.ts";
import { EXIT_CODES, type ExitCode } from "./exit_code.ts";
import {
  type OperatorConnection,
  withConnection,
} from "./operator_connection.ts";

interface ChangeOptions {
  readonly expectedVersion: number | undefined;
  readonly changeId: string | undefined;
}

interface ChangeResult {
  readonly name: string;
  readonly outcome: "applied" | "unchanged" | "applied_earlier";
  readonly version: number;
  readonly changeId?: string;
}

const OUTCOME_TEXTS = {
  applied: "applied",
  unchanged: "unchanged",
  applied_earlier: "applied by an earlier attempt",
} as const;

function changeOptions(context: CommandContext): ChangeOptions {
  return {
    expectedVersion: optionNumber(context.argv, "--expected-version"),
    changeId: optionText(context.argv, "--change-id"),
  };
}

async function applyDocument(
  connection: OperatorConnection,
  document: DocumentFile,
  options: ChangeOptions,
): Promise<ChangeResult> {
  const { name, content } = document;
  if (options.changeId !== undefined) {
    const version = await findChange(connection, name, options.changeId);
    if (version !== undefined) {
      const { changeId } = options;
      return { name, outcome: "applied_earlier", version, changeId };
    }
  }
  let { expectedVersion } = options;
  if (expectedVersion === undefined) {
    const stored = await readStored(connection, name);
    expectedVersion = stored?.version ?? 0;
    const isEqual = stored !== undefined &&
      diffDocuments(JSON.parse(stored.content), JSON.parse(content)).length ===
        0;
    if (isEqual) return { name, outcome: "unchanged", version: stored.version };
  }
  const changeId = options.changeId ?? randomUUID();
  const request = {
    name,
    content,
    expectedVersion: BigInt(expectedVersion),
    changeId,
  };
  const version = await makeChange(connection, {
    name,
    changeId,
    run: async (client) =>
      Number((await client.apply(request)).document?.version ?? 0),
  });
  return { name, outcome: "applied", version, changeId };
}

/**
 * Validates all documents, then stores them one after the other, policies
 * first. The first failure ends the command; the output lists the documents
 * stored before it.
 */
export async function apply(
  context: CommandContext,
  paths: readonly string[],
): Promise<ExitCode> {
  const options = changeOptions(context);
  const documents = [...readDocumentFiles(paths)].sort((a, b) =>
    Number(b.name.startsWith("policy/")) - Number(a.name.startsWith("policy/"))
  );
  const needsOneDocument = options.expectedVersion !== undefined ||
    options.changeId !== undefined;
  if (needsOneDocument && documents.length > 1) {
    throw usageError(
      "--expected-version and --change-id are for one document only",
    );
  }
  const results: ChangeResult[] = [];
  try {
    await withConnection(context, async (connection) => {
      for (const document of documents) {
        results.push(await applyDocument(connection, document, options));
      }
    });
  } catch (error) {
    const remaining = documents.length - results.length - 1;
    if (!(error instanceof CommandError) || remaining === 0) throw error;
    throw new CommandError(error.message, {
      exitCode: error.exitCode,
      kind: error.kind,
      details: [
        ...error.details,
        `${remaining} further documents were not applied`,
      ],
      fields: { ...error.fields, notApplied: remaining },
    });
  } finally {
    writeResult(context, {
      json: results,
      lines: results.map(({ name, outcome, version }) =>
        `${name}: ${OUTCOME_TEXTS[outcome]}, version ${version}`
      ),
    });
  }
  return EXIT_CODES.ok;
}

/** Deletes one document. */
export async function remove(
  context: CommandContext,
  name: string,
): Promise<ExitCode> {
  requireDocumentName(name);
  const options = changeOptions(context);
  const changeId = options.changeId ?? randomUUID();
  const version = await withConnection(context, async (connection) => {
    const earlierVersion = options.changeId === undefined
      ? undefined
      : await findChange(connection, name, changeId);
    if (earlierVersion !== undefined) return earlierVersion;
    const expectedVersion = options.expectedVersion ??
      (await readStored(connection, name))?.version;
    if (expectedVersion === undefined) throw notStoredError(name);
    const request = {
      name,
      expectedVersion: BigInt(expectedVersion),
      changeId,
    };
    return await makeChange(connection, {
      name,
      changeId,
      run: async (client) => Number((await client.delete(request)).version),
    });
  });
  writeResult(context, {
    json: { name, outcome: "deleted", version, changeId },
    lines: [`${name}: deleted, version ${version}`],
  });
  return EXIT_CODES.ok;
}

/** Reports whether a change was committed. */
export async function change(
  context: CommandContext,
  changeId: string,
  name: string,
): Promise<ExitCode> {
  requireDocumentName(name);
  const version = await withConnection(
    context,
    (connection) => findChange(connection, name, changeId),
  );
  const isCommitted = version !== undefined;
  writeResult(context, {
    json: { name, changeId, committed: isCommitted, version },
    lines: [
      isCommitted
        ? `${name}: change ${changeId} was committed as version ${version}`
        : `${name}: change ${changeId} is not among the last 32 committed changes`,
    ],
  });
  return isCommitted ? EXIT_CODES.ok : EXIT_CODES.failed;
}
