import type { Either } from "purify-ts";
import type { PolicyView } from "@oleanderdeck/agreement";
import type { DeckError } from "@oleanderdeck/errors";

/** Copy of one version of a document, as held by a node. */
export interface DocumentVersionCopy {
  /** `agreement/<organisation>` or `policy/<service>`. */
  readonly name: string;
  readonly version: number;
  /** JSON text; empty when deleted. */
  readonly content: string;
  readonly deleted: boolean;
  /** Id of the change that wrote this version; empty if it is unknown. */
  readonly changeId: string;
}

/** Documents that a node holds. A version is never replaced by a lower one. */
export abstract class DocumentReplica {
  /** Returns the lookup compiled from the active documents. */
  abstract view(): PolicyView;

  /** Returns all documents, deleted ones included. */
  abstract documents(): readonly DocumentVersionCopy[];

  /** Returns the highest version held of any document; 0 if there is none. */
  abstract highestVersion(): number;

  /** Returns a digest of the names and versions of all documents. */
  abstract digest(): bigint;

  /** Returns whether the node has a configuration that it may use. */
  abstract isReady(): boolean;

  /**
   * Accepts a document if its version is higher than the one held.
   *
   * @returns Whether the document was accepted.
   */
  abstract accept(copy: DocumentVersionCopy): boolean;

  /**
   * Registers a listener, which is called for each accepted document.
   *
   * @returns A function that removes the listener.
   */
  abstract onChange(
    listener: (copy: DocumentVersionCopy) => void,
  ): () => void;
}

/** Options of a change to a document. */
export interface ChangeOptions {
  /** Version on which the change is based; 0 to create the document. */
  readonly expectedVersion: number;
  /** Id of the change, chosen by the client. */
  readonly changeId: string;
}

/** Changes documents in the platform's store on behalf of operators. */
export abstract class DocumentEditor {
  /**
   * Stores a document that has already been validated.
   *
   * Returns a `Left` with, among others, `conflict`, `store_unavailable` (not
   * stored) or `outcome_unknown` (the store did not respond to the write, and
   * reading the document did not show whether it took effect).
   */
  abstract apply(
    name: string,
    content: string,
    options: ChangeOptions,
  ): Promise<Either<DeckError, DocumentVersionCopy>>;

  /**
   * Deletes a document. Errors are those of {@linkcode DocumentEditor.apply},
   * and `not_found`.
   */
  abstract delete(
    name: string,
    options: ChangeOptions,
  ): Promise<Either<DeckError, DocumentVersionCopy>>;

  /** Reads a document from the store. */
  abstract get(name: string): Promise<Either<DeckError, DocumentVersionCopy>>;

  /** Lists the documents in the store that are not deleted. */
  abstract list(
    prefix: string,
  ): Promise<Either<DeckError, readonly DocumentVersionCopy[]>>;

  /**
   * Determines whether a change was committed.
   *
   * @returns The version that it wrote; undefined if the stored document does
   * not list the change.
   */
  abstract findChange(
    name: string,
    changeId: string,
  ): Promise<Either<DeckError, number | undefined>>;
}
