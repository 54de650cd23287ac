import { createHash } from "node:crypto";
import type { StoredObject } from "@oleanderdeck/store";
import { z } from "zod";
import type { DocumentVersionCopy } from "./document_replica.ts";

/** Maximum number of changes in the history of a stored document. */
export const MAX_STORED_CHANGES = 32;

/** Prefixes of names in the store that denote documents. */
export const DOCUMENT_PREFIXES: readonly string[] = ["agreement/", "policy/"];

const CHANGE = z.object({
  changeId: z.string(),
  /** Version that the change replaced; 0 if it created the object. */
  replacedVersion: z.int().min(0),
  /** Distinguishes two changes that were given the same id. */
  contentHash: z.string(),
});

/** One change in the history of a stored document. */
export type StoredChange = Readonly<z.infer<typeof CHANGE>>;

const STORED_DOCUMENT = z.object({
  content: z.string(),
  deleted: z.boolean(),
  changes: z.array(CHANGE).min(1).max(MAX_STORED_CHANGES),
});

/** A document with its recent changes, as held by the store. */
export interface StoredDocument {
  readonly copy: DocumentVersionCopy;
  /** The latest changes, the oldest first. */
  readonly changes: readonly StoredChange[];
}

/**
 * Maximum length of the name of a document, in UTF-8 bytes. Several names must
 * fit into a datagram of 1,200 bytes.
 */
export const MAX_DOCUMENT_NAME_BYTES = 200;

/** Returns whether a name is that of a document. */
export function isDocumentName(name: string): boolean {
  return DOCUMENT_PREFIXES.some((prefix) =>
    name.startsWith(prefix) && name.length > prefix.length
  ) && Buffer.byteLength(name) <= MAX_DOCUMENT_NAME_BYTES;
}

/** Returns a hash that distinguishes different contents of a document. */
export function hashContent(content: string, deleted: boolean): string {
  return createHash("sha256")
    .update(deleted ? "deleted" : "stored")
    .update("\0")
    .update(content)
    .digest("hex")
    .slice(0, 16);
}

/**
 * Encodes a document as the value of an object in the store.
 *
 * @param document Content of the document, and whether it is deleted.
 * @param changes History, the oldest change first. Only the latest
 * {@linkcode MAX_STORED_CHANGES} are stored.
 * @returns JSON text.
 */
export function encodeStoredDocument(
  document: Pick<DocumentVersionCopy, "content" | "deleted">,
  changes: readonly StoredChange[],
): string {
  return JSON.stringify({
    content: document.content,
    deleted: document.deleted,
    changes: changes.slice(-MAX_STORED_CHANGES),
  });
}

/**
 * Decodes a document from an object in the store.
 *
 * @returns The document; undefined if the object is not one that this system
 * wrote.
 */
export function decodeStoredDocument(
  object: StoredObject,
): StoredDocument | undefined {
  const { name, version } = object;
  if (!isDocumentName(name)) return undefined;
  // The editor deletes a document by storing a tombstone with the history. An
  // object that was deleted by other means has no history.
  if (object.deleted) {
    const copy = { name, version, content: "", deleted: true, changeId: "" };
    return { copy, changes: [] };
  }
  const parsed = STORED_DOCUMENT.safeParse(parseJson(object.value));
  if (!parsed.success) return undefined;
  const { content, deleted, changes } = parsed.data;
  const changeId = changes.at(-1)!.changeId;
  return { copy: { name, version, content, deleted, changeId }, changes };
}

/**
 * Finds the version that a change wrote.
 *
 * @returns The version; undefined if the change is not among the stored ones.
 */
export function findChangeVersion(
  document: StoredDocument,
  changeId: string,
): number | undefined {
  const index = document.changes.findIndex((change) =>
    change.changeId === changeId
  );
  if (index < 0) return undefined;
  return document.changes[index + 1]?.replacedVersion ?? document.copy.version;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
