import type { Either } from "purify-ts";
import type { DeckError } from "@oleanderdeck/errors";
import type { Member } from "@oleanderdeck/protocol";
import type {
  DocumentReplica,
  DocumentVersionCopy,
} from "./document_replica.ts";

/** Name and version of a document. */
export interface HeldVersion {
  /**
   * Name of a document. The empty name stands for all documents: those with a
   * version up to this one are left out of the answer.
   */
  readonly name: string;
  readonly version: number;
}

/** Asks for documents that are newer than those held. */
export interface DocumentRequest {
  readonly held: readonly HeldVersion[];
  /** Only these names; empty means all. */
  readonly names: readonly string[];
}

/** Fetches documents from another node, by the peer RPC FetchDocuments. */
export abstract class DocumentPeer {
  /**
   * Fetches documents that are newer than those held, in the order of their
   * versions. An answer may be cut; the rest comes with the next request.
   *
   * Answers with `not_ready` on the left side when the other node has not
   * loaded its own configuration yet, and with `connection_lost` or
   * `connection_refused` when it cannot be reached.
   */
  abstract fetch(
    member: Member,
    request: DocumentRequest,
  ): Promise<Either<DeckError, readonly DocumentVersionCopy[]>>;
}

/** Size of the contents of one answer in UTF-16 code units, after which it ends. */
export const FETCH_PAGE_LENGTH = 1_000_000;

/**
 * Selects the documents for an answer to {@linkcode DocumentPeer.fetch}, in the
 * order of their versions. The caller answers with `not_ready` instead when the
 * replica is not ready.
 *
 * @param replica Documents of the node that is asked.
 * @param request What the other node asks for.
 */
export function selectNewerDocuments(
  replica: DocumentReplica,
  request: DocumentRequest,
): readonly DocumentVersionCopy[] {
  const held = new Map(
    request.held.map(({ name, version }) => [name, version]),
  );
  const floor = held.get("") ?? 0;
  const names = new Set(request.names);
  const newer = replica.documents()
    .filter(({ name, version }) =>
      version > floor && version > (held.get(name) ?? 0) &&
      (names.size === 0 || names.has(name))
    )
    .sort((a, b) => a.version - b.version);
  let length = 0;
  const end = newer.findIndex(({ content }, index) => {
    length += content.length;
    return index > 0 && length > FETCH_PAGE_LENGTH;
  });
  return end < 0 ? newer : newer.slice(0, end);
}
