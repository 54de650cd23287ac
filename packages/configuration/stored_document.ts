import { createHash } from "node:crypto";
import type { StoredObject } from "@oleanderdeck/store";
import { z } from "zod";
import type { DocumentVersionCopy } from "./document_replica.ts";

/** Number of change identities that a stored document keeps. */
export const MAX_STORED_CHANGES = 32;

/** Prefixes of the names of objects that are documents. */
export const DOCUMENT_PREFIXES: readonly string[] = ["agreement/", "policy/"];

const CHANGE = z.object({
  changeId: z.string(),
  /** Version that the change replaced; 0 if it created the object. */
  replacedVersion: z.int().min(0),
  /** Distinguishes two changes that were given the same identity. */
  contentHash: z.string(),
});

/** One change in the history of a stored document. */
export type StoredChange = Readonly<z.infer<typeof CHANGE>>;

const STORED_DOCUMENT = z.object({
  content: z.string(),
  deleted: z.boolean(),
  changes: z.array(CHANGE).min(1).max(MAX_STORED_CHANGES),
});

/** A document with its history as held by the store. */
export interface StoredDocument {
  readonly copy: DocumentVersionCopy;
  /** The last changes, the oldest first. */
  readonly changes: readonly StoredChange[];
}

/**
 * Greatest length of the name of a document in UTF-8 bytes, so that several
 * names fit into a datagram of 1,200 bytes.
 */
export const MAX_DOCUMENT_NAME_BYTES = 200;

/** Tells whether an object with this name is a document. */
export function isDocumentName(name: string): boolean {
  return DOCUMENT_PREFIXES.some((prefix) =>
    name.startsWith(prefix) && name.length > prefix.length
  ) && Buffer.byteLength(name) <= MAX_DOCUMENT_NAME_BYTES;
}

/** Hash that tells two contents of a document apart. */
export function hashContent(content: string, deleted: boolean): string {
  return createHash("sha256")
    .update(deleted ? "deleted" : "stored")
    .update("\0")
    .update(content)
    .digest("hex")
    .slice(0, 16);
}

/** Text of an object for the store, with the last {@linkcode MAX_STORED_CHANGES}. */
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
 * Reads a document from an object of the store.
 *
 * @returns Undefined when the object is not a document that this system wrote.
 */
export function decodeStoredDocument(
  object: StoredObject,
): StoredDocument | undefined {
  const { name, version } = object;
  if (!isDocumentName(name)) return undefined;
  // The editor deletes by a stored tombstone that keeps the history; an object
  // that was deleted by other means has none.
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
 * @returns Undefined when the change is not among the kept ones.
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
