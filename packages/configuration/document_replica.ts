import type { Either } from "purify-ts";
import type { PolicyView } from "@oleanderdeck/agreement";
import type { DeckError } from "@oleanderdeck/errors";

/** One version of a document as held by a node. */
export interface DocumentVersionCopy {
  /** `agreement/<organisation>` or `policy/<service>`. */
  readonly name: string;
  readonly version: number;
  /** JSON text; empty when deleted. */
  readonly content: string;
  readonly deleted: boolean;
  /** Identity of the change that wrote this version. */
  readonly changeId: string;
}

/** The documents that a node holds. A version is never replaced by a lower one. */
export abstract class DocumentReplica {
  /** Compiled lookup over the documents in force now. */
  abstract view(): PolicyView;

  /** All documents, deleted ones included. */
  abstract documents(): readonly DocumentVersionCopy[];

  /** Highest version held over all documents, 0 at first. */
  abstract highestVersion(): number;

  /** Digest over the names and versions of all documents. */
  abstract digest(): bigint;

  /** Whether the node has a configuration that it may act on. */
  abstract isReady(): boolean;

  /**
   * Takes a document if its version is higher than the one held.
   *
   * @returns Whether the document was taken.
   */
  abstract accept(copy: DocumentVersionCopy): boolean;

  /**
   * Calls the listener after each document that was taken.
   *
   * @returns A function that removes the listener.
   */
  abstract onChange(
    listener: (copy: DocumentVersionCopy) => void,
  ): () => void;
}

/** Options of a change of a document. */
export interface ChangeOptions {
  /** Version that the operator saw; 0 to create the document. */
  readonly expectedVersion: number;
  /** Identity of the change, chosen by the client. */
  readonly changeId: string;
}

/** Changes documents in the platform's store on behalf of operators. */
export abstract class DocumentEditor {
  /**
   * Stores a document that was validated before.
   *
   * Answers on the left side with `conflict`, `store_unavailable` (not stored)
   * or `outcome_unknown` (the store did not answer and could not be read back).
   */
  abstract apply(
    name: string,
    content: string,
    options: ChangeOptions,
  ): Promise<Either<DeckError, DocumentVersionCopy>>;

  /** Deletes a document; errors as for {@linkcode DocumentEditor.apply}. */
  abstract delete(
    name: string,
    options: ChangeOptions,
  ): Promise<Either<DeckError, DocumentVersionCopy>>;

  /** Reads a document from the store. */
  abstract get(name: string): Promise<Either<DeckError, DocumentVersionCopy>>;

  /** Lists the documents in the store, without deleted ones. */
  abstract list(
    prefix: string,
  ): Promise<Either<DeckError, readonly DocumentVersionCopy[]>>;

  /**
   * Finds out whether a change was committed.
   *
   * @returns The version that it wrote, or undefined if it was not committed.
   */
  abstract findChange(
    name: string,
    changeId: string,
  ): Promise<Either<DeckError, number | undefined>>;
}
