import type { MessageInitShape } from "@bufbuild/protobuf";
import type { ServiceImpl } from "@connectrpc/connect";
import { type Either, Left, Right } from "purify-ts";
import {
  diffDocuments,
  parseDocumentName,
  readDocument,
} from "@oleanderdeck/agreement";
import type {
  DocumentEditor,
  DocumentVersionCopy,
} from "@oleanderdeck/configuration";
import { DeckError } from "@oleanderdeck/errors";
import {
  ConflictSchema,
  type DocumentSchema,
  InvalidDocumentSchema,
  type OperatorService,
} from "@oleanderdeck/protocol";
import type { ValidationIssue } from "@oleanderdeck/settings";
import { MAX_OBJECT_BYTES } from "@oleanderdeck/store";
import { toConnectError } from "./operator_error.ts";

/**
 * Maximum size of a document in bytes. It is half of the size of a stored object
 * because the object holds the document as a JSON string, in which every quote
 * is escaped, together with the identities of changes.
 */
export const MAX_DOCUMENT_BYTES = MAX_OBJECT_BYTES / 2;

const CHANGE_ID = /^[A-Za-z0-9-]{1,64}$/;

type DocumentInit = MessageInitShape<typeof DocumentSchema>;

/** Handlers of the operator RPCs for documents. */
export type DocumentHandlers = Pick<
  ServiceImpl<typeof OperatorService>,
  "apply" | "validate" | "diff" | "get" | "list" | "delete" | "getChange"
>;

function toDocument(copy: DocumentVersionCopy): DocumentInit {
  const { name, version, content, changeId } = copy;
  return { name, version: BigInt(version), content, changeId };
}

function findFaults(name: string, content: string): readonly ValidationIssue[] {
  if (Buffer.byteLength(content) > MAX_DOCUMENT_BYTES) {
    const message = `The document is larger than ${MAX_DOCUMENT_BYTES} bytes`;
    return [{ path: "", message }];
  }
  return readDocument(name, content).swap().orDefault([]);
}

function requireValid(name: string, content: string): void {
  const faults = findFaults(name, content);
  if (faults.length === 0) return;
  throw toConnectError(new DeckError("invalid_document"), [
    { desc: InvalidDocumentSchema, value: { faults: [...faults] } },
  ]);
}

function requireName(name: string): void {
  if (parseDocumentName(name) !== undefined) return;
  throw new DeckError("malformed_request", {
    message:
      "The name is neither agreement/<organisation> nor policy/<service>",
  });
}

function requireChangeId(changeId: string): void {
  if (CHANGE_ID.test(changeId)) return;
  throw new DeckError("malformed_request", {
    message:
      "A change identity of 1 to 64 letters, digits or hyphens is needed",
  });
}

/**
 * Returns the value on the right side.
 *
 * @throws {DeckError} If there is an error on the left side.
 */
export function orThrow<Value>(either: Either<DeckError, Value>): Value {
  return either.caseOf({
    Left: (error) => {
      throw error;
    },
    Right: (value) => value,
  });
}

async function getIfStored(
  editor: DocumentEditor,
  name: string,
): Promise<Either<DeckError, DocumentVersionCopy | undefined>> {
  const result = await editor.get(name);
  return result.chainLeft((error) =>
    error.kind === "not_found" ? Right(undefined) : Left(error)
  );
}

/**
 * Adds the proposed and the stored document to a `conflict` error; returns other
 * errors unchanged. A stored document that cannot be read is omitted, so that
 * the conflict is reported all the same.
 */
async function explainConflict(
  editor: DocumentEditor,
  error: DeckError,
  proposed: DocumentInit,
): Promise<Error> {
  if (error.kind !== "conflict") return error;
  const stored = (await getIfStored(editor, proposed.name!))
    .orDefault(undefined);
  return toConnectError(error, [{
    desc: ConflictSchema,
    value: { stored: stored && toDocument(stored), proposed },
  }]);
}

/**
 * Returns the handlers of the operator RPCs for documents.
 *
 * @param editor Reads and changes documents in the store.
 */
export function documentHandlers(editor: DocumentEditor): DocumentHandlers {
  return {
    async apply({ name, content, expectedVersion, changeId }) {
      requireChangeId(changeId);
      requireValid(name, content);
      const compact = JSON.stringify(JSON.parse(content));
      const result = await editor.apply(name, compact, {
        expectedVersion: Number(expectedVersion),
        changeId,
      });
      if (result.isRight()) return { document: toDocument(result.extract()) };
      throw await explainConflict(editor, result.swap().unsafeCoerce(), {
        name,
        version: expectedVersion,
        content: compact,
        changeId,
      });
    },

    validate({ name, content }) {
      return { faults: [...findFaults(name, content)] };
    },

    async diff({ name, content }) {
      requireValid(name, content);
      const stored = orThrow(await getIfStored(editor, name));
      const differences = diffDocuments(
        stored && JSON.parse(stored.content),
        JSON.parse(content),
      );
      return {
        differences: [...differences],
        storedVersion: BigInt(stored?.version ?? 0),
      };
    },

    async get({ name }) {
      requireName(name);
      return { document: toDocument(orThrow(await editor.get(name))) };
    },

    async list({ prefix }) {
      const documents = orThrow(await editor.list(prefix));
      return {
        documents: documents
          .filter(({ name }) => parseDocumentName(name) !== undefined)
          .map(toDocument),
      };
    },

    async delete({ name, expectedVersion, changeId }) {
      requireName(name);
      requireChangeId(changeId);
      if (expectedVersion === 0n) {
        throw new DeckError("malformed_request", {
          message: "A deletion needs the version that is to be deleted",
        });
      }
      const result = await editor.delete(name, {
        expectedVersion: Number(expectedVersion),
        changeId,
      });
      if (result.isRight()) {
        return { version: BigInt(result.extract().version) };
      }
      throw await explainConflict(editor, result.swap().unsafeCoerce(), {
        name,
        version: expectedVersion,
        changeId,
      });
    },

    async getChange({ name, changeId }) {
      requireName(name);
      requireChangeId(changeId);
      const version = orThrow(await editor.findChange(name, changeId));
      return {
        committed: version !== undefined,
        version: BigInt(version ?? 0),
      };
    },
  };
}
