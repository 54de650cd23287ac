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
   * Name of a document. The empty name stands for all documents: the response
   * omits those whose version is not higher than this one.
   */
  readonly name: string;
  readonly version: number;
}

/** Request for documents that are newer than those held. */
export interface DocumentRequest {
  /** Versions that the requesting node holds. */
  readonly held: readonly HeldVersion[];
  /** Names of the documents to return; empty for all documents. */
  readonly names: readonly string[];
}

/** Fetches documents from another node, by the peer RPC FetchDocuments. */
export abstract class DocumentPeer {
  /**
   * Fetches documents that are newer than those held, in the order of their
   * versions. A response of limited size may omit the last ones; the next
   * request returns them.
   *
   * Returns a `Left` with `not_ready` if the other node has not loaded its own
   * configuration yet, and with `connection_lost` or `connection_refused` if it
   * cannot be reached.
   *
   * @param member Node to send the request to.
   * @param request Versions held by this node, and the documents to return.
   */
  abstract fetch(
    member: Member,
    request: DocumentRequest,
  ): Promise<Either<DeckError, readonly DocumentVersionCopy[]>>;
}

/**
 * Maximum total size of the contents in one response, in UTF-16 code units. A
 * single document may exceed it.
 */
export const FETCH_PAGE_LENGTH = 1_000_000;

/**
 * Selects the documents of a response to {@linkcode DocumentPeer.fetch}, in the
 * order of their versions. The caller responds with `not_ready` instead if the
 * replica is not ready.
 *
 * @param replica Documents of the responding node.
 * @param request Request of the other node.
 * @returns The first newer documents, up to {@linkcode FETCH_PAGE_LENGTH}.
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
