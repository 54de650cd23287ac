import { setTimeout as sleep } from "node:timers/promises";
import { ConnectError } from "@connectrpc/connect";
import { diffDocuments } from "@oleanderdeck/agreement";
import { errorKindOf } from "@oleanderdeck/operator";
import { ConflictSchema } from "@oleanderdeck/protocol";
import { CommandError, toCommandError, wasNotSent } from "./command_error.ts";
import { formatDifference } from "./command_output.ts";
import { EXIT_CODES } from "./exit_code.ts";
import type {
  OperatorClient,
  OperatorConnection,
} from "./operator_connection.ts";

/** Change of one document. */
export interface DocumentChange {
  readonly name: string;
  readonly changeId: string;
  /** Makes the call; it is repeated with the same identity. */
  readonly run: (client: OperatorClient) => Promise<number>;
}

/**
 * Attempts of one change. A repetition is safe, because the node recognises the
 * identity of the change.
 */
const CHANGE_ATTEMPTS = 3;

const REPEAT_PAUSE_MS = 300;

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
  const side = (document: typeof stored) =>
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
      fields: { name, stored: side(stored), proposed: side(proposed) },
    },
  );
}

function unknownOutcome(change: DocumentChange, reason: string): CommandError {
  const { name, changeId } = change;
  return new CommandError(
    `Whether ${name} was changed is unknown: ${reason}`,
    {
      exitCode: EXIT_CODES.unreachable,
      kind: "outcome_unknown",
      details: [
        `Find out by: oleanderdeck change ${changeId} ${name}`,
        `Repeat the command safely with: --change-id ${changeId}`,
      ],
      fields: { name, changeId },
    },
  );
}

/**
 * Makes a change and repeats it with the same identity when the answer was lost.
 *
 * @param connection Connection to a node.
 * @param change The change.
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
      const isLost = kind === undefined && !wasNotSent(error);
      if (isLost || kind === "outcome_unknown") mayHaveRun = true;
      const isDecided = kind !== undefined && kind !== "outcome_unknown" &&
        kind !== "store_unavailable";
      if (isDecided || attempt >= CHANGE_ATTEMPTS) {
        throw mayHaveRun
          ? unknownOutcome(change, error.rawMessage)
          : toCommandError(error, connection.node);
      }
      await sleep(REPEAT_PAUSE_MS * attempt);
    }
  }
}

/** Makes the error for a document that is not stored. */
export function notStored(name: string): CommandError {
  return new CommandError(`${name} is not stored`, {
    exitCode: EXIT_CODES.failed,
    kind: "not_found",
  });
}

/** Document as stored now. */
export interface StoredDocument {
  readonly version: number;
  readonly content: string;
  readonly changeId: string;
}

/**
 * Reads the version and content that are stored now.
 *
 * @param connection Connection to a node.
 * @param name Name of the document.
 * @returns Undefined if nothing is stored.
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
 * Finds out whether a change was committed.
 *
 * @param connection Connection to a node.
 * @param name Name of the document.
 * @param changeId Identity of the change.
 * @returns The version that it wrote, or undefined if it was not committed.
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
