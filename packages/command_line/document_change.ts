import { setTimeout as sleep } from "node:timers/promises";
import { ConnectError } from "@connectrpc/connect";
import { diffDocuments } from "@oleanderdeck/agreement";
import { errorKindOf } from "@oleanderdeck/operator";
import { ConflictSchema } from "@oleanderdeck/protocol";
import { CommandError, fromConnectError, wasNotSent } from "./command_error.ts";
import { formatDifference } from "./command_output.ts";
import { EXIT_CODES } from "./exit_code.ts";
import type {
  OperatorClient,
  OperatorConnection,
} from "./operator_connection.ts";

/** Change of one document. */
export interface DocumentChange {
  /** Name of the document. */
  readonly name: string;
  /** Identity of the change, by which a node recognises a retry. */
  readonly changeId: string;
  /**
   * Makes the call and returns the version that it wrote. A retry runs it again
   * with the same identity.
   */
  readonly run: (client: OperatorClient) => Promise<number>;
}

/**
 * Maximum number of attempts of one change. A retry is safe, because the node
 * recognises the identity of the change.
 */
const MAX_CHANGE_ATTEMPTS = 3;

/** Delay before the first retry; the nth retry waits n times as long. */
const RETRY_DELAY_MS = 300;

function parseContent(content: string | undefined): unknown {
  return content === undefined || content === ""
    ? undefined
    : JSON.parse(content);
}

function conflictError(name: string, error: ConnectError): CommandError {
  const detail = error.findDetails(ConflictSchema)[0];
  const { stored, proposed } = detail ?? {};
  const differences = diffDocuments(
    parseContent(stored?.content),
    parseContent(proposed?.content),
  );
  const storedText = stored === undefined
    ? "no document is stored"
    : `version ${stored.version} is stored, by change ${stored.changeId}`;
  const documentFields = (document: typeof stored) =>
    document && {
      version: document.version,
      changeId: document.changeId,
      content: parseContent(document.content),
    };
  return new CommandError(
    `${name} was not changed: version ${
      proposed?.version ?? 0
    } was expected, ${storedText}`,
    {
      exitCode: EXIT_CODES.conflict,
      kind: "conflict",
      details: differences.length === 0
        ? ["The stored and the proposed document are equal"]
        : differences.map(formatDifference),
      fields: {
        name,
        stored: documentFields(stored),
        proposed: documentFields(proposed),
      },
    },
  );
}

function unknownOutcomeError(
  change: DocumentChange,
  reason: string,
): CommandError {
  const { name, changeId } = change;
  return new CommandError(
    `The outcome of the change of ${name} is unknown: ${reason}`,
    {
      exitCode: EXIT_CODES.unreachable,
      kind: "outcome_unknown",
      details: [
        `Check the outcome with: oleanderdeck change ${changeId} ${name}`,
        `Retry the command safely with: --change-id ${changeId}`,
      ],
      fields: { name, changeId },
    },
  );
}

/**
 * Makes a change, and retries it with the same identity if the response was
 * lost or the store was unavailable.
 *
 * @param connection Connection to a node.
 * @param change Change to make.
 * @returns The version that the change wrote.
 * @throws {CommandError} If the change was rejected or its outcome is unknown.
 */
export async function makeChange(
  connection: OperatorConnection,
  change: DocumentChange,
): Promise<number> {
  let mayHaveRun = false;
  for (let attempt = 1;; attempt += 1) {
    try {
      return await change.run(connection.client);
    } catch (thrown) {
      const error = ConnectError.from(thrown);
      const kind = errorKindOf(error);
      if (kind === "conflict") throw conflictError(change.name, error);
      const isResponseLost = kind === undefined && !wasNotSent(error);
      if (isResponseLost || kind === "outcome_unknown") mayHaveRun = true;
      const isFinal = kind !== undefined && kind !== "outcome_unknown" &&
        kind !== "store_unavailable";
      if (isFinal || attempt >= MAX_CHANGE_ATTEMPTS) {
        throw mayHaveRun
          ? unknownOutcomeError(change, error.rawMessage)
          : fromConnectError(error, connection.node);
      }
      await sleep(RETRY_DELAY_MS * attempt);
    }
  }
}

/** Creates the error for a document that is not stored. */
export function notStoredError(name: string): CommandError {
  return new CommandError(`${name} is not stored`, {
    exitCode: EXIT_CODES.failed,
    kind: "not_found",
  });
}

/** Document that is currently stored. */
export interface StoredDocument {
  readonly version: number;
  /** JSON text of the document. */
  readonly content: string;
  /** Identity of the change that wrote this version. */
  readonly changeId: string;
}

/**
 * Reads the currently stored version of a document.
 *
 * @param connection Connection to a node.
 * @param name Name of the document.
 * @returns The document, or undefined if it is not stored.
 * @throws {CommandError} If the call fails.
 */
export async function readStored(
  connection: OperatorConnection,
  name: string,
): Promise<StoredDocument | undefined> {
  try {
    const { document } = await connection.call((client) =>
      client.get({ name })
    );
    return document && { ...document, version: Number(document.version) };
  } catch (error) {
    if (error instanceof CommandError && error.kind === "not_found") {
      return undefined;
    }
    throw error;
  }
}

/**
 * Looks up whether a change was committed.
 *
 * @param connection Connection to a node.
 * @param name Name of the document.
 * @param changeId Identity of the change.
 * @returns The version that the change wrote, or undefined if it is not among
 * the committed changes that the node remembers.
 */
export async function findChange(
  connection: OperatorConnection,
  name: string,
  changeId: string,
): Promise<number | undefined> {
  const { committed, version } = await connection.call((client) =>
    client.getChange({ name, changeId })
  );
  return committed ? Number(version) : undefined;
}
