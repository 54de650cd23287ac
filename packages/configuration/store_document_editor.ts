import { type Either, Left, Right } from "purify-ts";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { DeckError } from "@oleanderdeck/errors";
import type { Clock } from "@oleanderdeck/settings";
import {
  MAX_OBJECT_BYTES,
  type Store,
  type StoredObject,
} from "@oleanderdeck/store";
import {
  type ChangeOptions,
  DocumentEditor,
  type DocumentReplica,
  type DocumentVersionCopy,
} from "./document_replica.ts";
import { randomFraction } from "./random_choice.ts";
import type { StoreContact } from "./store_contact.ts";
import {
  decodeStoredDocument,
  encodeStoredDocument,
  findChangeVersion,
  hashContent,
  isDocumentName,
  type StoredDocument,
} from "./stored_document.ts";

/** Options of {@linkcode StoreDocumentEditor}. */
export interface StoreDocumentEditorOptions {
  readonly store: Store;
  readonly clock: Clock;
  /** Random numbers for the jitter between two attempts. */
  readonly random: RandomGenerator;
  /**
   * Replica that accepts committed documents at once, so that this node
   * announces them without waiting for a reader of the store.
   */
  readonly replica?: DocumentReplica;
  /** Records responses of the store. */
  readonly contact?: StoreContact;
  /**
   * Time after which no further attempt to write a change or to determine its
   * outcome begins, in milliseconds; 10,000 by default.
   */
  readonly timeoutMs?: number;
}

/** A `conflict` error with the stored document and the proposed one. */
export class DocumentConflict extends DeckError {
  /** Stored document; undefined if there is none. */
  readonly stored: DocumentVersionCopy | undefined;
  /**
   * Document of the rejected change; its version is the one that the change
   * expected to be stored.
   */
  readonly proposed: DocumentVersionCopy;

  /**
   * @param proposed Document of the rejected change.
   * @param stored Stored document.
   */
  constructor(
    proposed: DocumentVersionCopy,
    stored: DocumentVersionCopy | undefined,
  ) {
    super("conflict", {
      message: `The stored version of ${proposed.name} is ${
        visibleVersion(stored)
      }, not ${proposed.version}`,
    });
    this.proposed = proposed;
    this.stored = stored;
  }
}

/** Maximum length of a change id, in UTF-16 code units. */
export const MAX_CHANGE_ID_LENGTH = 128;

const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2_000;

/** Document currently stored; undefined if there is none. */
type CurrentDocument = StoredDocument | undefined;

/** Changes documents by conditional updates of the platform's store. */
export class StoreDocumentEditor extends DocumentEditor {
  readonly #options: StoreDocumentEditorOptions;
  readonly #timeoutMs: number;

  /** @param options Store, clock, and the replica that accepts changes. */
  constructor(options: StoreDocumentEditorOptions) {
    super();
    this.#options = options;
    this.#timeoutMs = options.timeoutMs ?? 10_000;
  }

  apply(
    name: string,
    content: string,
    options: ChangeOptions,
  ): Promise<Either<DeckError, DocumentVersionCopy>> {
    return this.#change({
      name,
      content,
      version: options.expectedVersion,
      deleted: false,
      changeId: options.changeId,
    });
  }

  delete(
    name: string,
    options: ChangeOptions,
  ): Promise<Either<DeckError, DocumentVersionCopy>> {
    return this.#change({
      name,
      content: "",
      version: options.expectedVersion,
      deleted: true,
      changeId: options.changeId,
    });
  }

  async get(name: string): Promise<Either<DeckError, DocumentVersionCopy>> {
    const current = await this.#read(name);
    return current.chain((document) =>
      document === undefined || document.copy.deleted
        ? Left(notFound(name))
        : Right(document.copy)
    );
  }

  async list(
    prefix: string,
  ): Promise<Either<DeckError, readonly DocumentVersionCopy[]>> {
    const listing = await this.#options.store.list(prefix);
    listing.ifRight(() => this.#options.contact?.record());
    return listing.map(({ objects }) =>
      objects
        .map((object) => decodeStoredDocument(object)?.copy)
        .filter((copy) => copy !== undefined)
        .filter(({ deleted }) => !deleted)
    );
  }

  /**
   * Determines whether a change was committed. It is found only while it is
   * among the latest 32 changes of the document.
   */
  async findChange(
    name: string,
    changeId: string,
  ): Promise<Either<DeckError, number | undefined>> {
    const current = await this.#read(name);
    return current.map((document) =>
      document && findChangeVersion(document, changeId)
    );
  }

  async #change(
    proposed: DocumentVersionCopy,
  ): Promise<Either<DeckError, DocumentVersionCopy>> {
    const fault = validateChange(proposed);
    if (fault !== undefined) return Left(fault);
    const { clock } = this.#options;
    const deadline = clock.now() + this.#timeoutMs;
    // Version on which a write without a response was conditional. While that
    // version is still stored, a further attempt is conditional on it too, so at
    // most one of the two writes takes effect.
    let uncertainBase: { readonly version: number } | undefined;
    for (let attempt = 0;; attempt++) {
      if (attempt > 0) {
        const remaining = deadline - clock.now();
        if (remaining <= 0) {
          return Left(
            uncertainBase === undefined
              ? new DeckError("store_unavailable")
              : outcomeUnknown(proposed),
          );
        }
        await clock.sleep(Math.min(this.#backoffMs(attempt), remaining));
      }
      const read = await this.#read(proposed.name);
      if (read.isLeft()) {
        if (uncertainBase !== undefined) continue;
        return read;
      }
      const current = read.unsafeCoerce();
      const outcome = findOutcome(proposed, current, uncertainBase?.version);
      if (outcome !== undefined) return this.#applyToReplica(outcome);
      const written = await this.#write(proposed, current);
      if (written.isRight()) return this.#applyToReplica(written);
      const error = written.swap().unsafeCoerce();
      // After a conflict, the next read finds either this change, written by an
      // earlier attempt, or the change that conflicts with it.
      if (error.kind === "conflict") continue;
      if (error.kind !== "store_unavailable") return Left(error);
      if (error.run !== "no") {
        uncertainBase = { version: storedVersion(current) };
      }
      if (uncertainBase === undefined) return Left(error);
    }
  }

  #applyToReplica(
    outcome: Either<DeckError, DocumentVersionCopy>,
  ): Either<DeckError, DocumentVersionCopy> {
    return outcome.ifRight((copy) => void this.#options.replica?.accept(copy));
  }

  async #write(
    proposed: DocumentVersionCopy,
    current: CurrentDocument,
  ): Promise<Either<DeckError, DocumentVersionCopy>> {
    const stored = storedVersion(current);
    const value = encodeStoredDocument(proposed, [
      ...(current?.changes ?? []),
      {
        changeId: proposed.changeId,
        replacedVersion: stored,
        contentHash: hashContent(proposed.content, proposed.deleted),
      },
    ]);
    if (Buffer.byteLength(value) > MAX_OBJECT_BYTES) {
      return Left(
        new DeckError("too_large", {
          message:
            `The document is larger than ${MAX_OBJECT_BYTES} bytes as stored`,
        }),
      );
    }
    const written = await this.#options.store.put(proposed.name, value, {
      expectedVersion: stored,
    });
    written.ifRight(() => this.#options.contact?.record());
    return written.map(({ version }) => ({ ...proposed, version }));
  }

  async #read(name: string): Promise<Either<DeckError, CurrentDocument>> {
    const read = await this.#options.store.get(name);
    return read
      .ifRight(() => this.#options.contact?.record())
      .chain((object) => decode(object))
      .chainLeft((error) =>
        error.kind === "not_found" ? Right(undefined) : Left(error)
      );
  }

  /** Returns an exponential backoff with full jitter. */
  #backoffMs(attempt: number): number {
    const bound = Math.min(
      INITIAL_BACKOFF_MS * 2 ** (attempt - 1),
      MAX_BACKOFF_MS,
    );
    return randomFraction(this.#options.random) * bound;
  }
}

function decode(object: StoredObject): Either<DeckError, CurrentDocument> {
  const document = decodeStoredDocument(object);
  return document === undefined
    ? Left(
      new DeckError("internal", {
        message: `The stored object ${object.name} is not a document`,
        run: "no",
      }),
    )
    : Right(document);
}

/**
 * Derives the outcome of a change from the stored document.
 *
 * @param proposed Document of the change.
 * @param current Document that is stored.
 * @param uncertainBase Version on which an earlier write without a response was
 * conditional; undefined if there was none.
 * @returns The outcome; undefined if the change may be written.
 */
function findOutcome(
  proposed: DocumentVersionCopy,
  current: CurrentDocument,
  uncertainBase: number | undefined,
): Either<DeckError, DocumentVersionCopy> | undefined {
  const change = current?.changes.find(({ changeId }) =>
    changeId === proposed.changeId
  );
  if (change !== undefined) {
    return change.contentHash ===
        hashContent(proposed.content, proposed.deleted)
      ? Right({
        ...proposed,
        version: findChangeVersion(current!, proposed.changeId)!,
      })
      : Left(
        new DeckError("malformed_request", {
          message:
            `The change identity ${proposed.changeId} was used for another change`,
        }),
      );
  }
  // If the version on which the uncertain write was conditional is no longer
  // stored, only the change that replaced it proves that the write failed. That
  // change may have been dropped from the limited history.
  const failed = uncertainBase === undefined ||
    uncertainBase === storedVersion(current) ||
    current?.changes.some(({ replacedVersion }) =>
      replacedVersion === uncertainBase
    );
  if (!failed) return Left(outcomeUnknown(proposed));
  const visible = visibleVersion(current?.copy);
  if (proposed.deleted && visible === 0) return Left(notFound(proposed.name));
  return visible === proposed.version
    ? undefined
    : Left(new DocumentConflict(proposed, current?.copy));
}

/** Returns the version in the store, tombstones included; 0 if absent. */
function storedVersion(current: CurrentDocument): number {
  return current?.copy.version ?? 0;
}

/** Returns the version shown to operators; 0 if absent or deleted. */
function visibleVersion(copy: DocumentVersionCopy | undefined): number {
  return copy === undefined || copy.deleted ? 0 : copy.version;
}

/** Returns an error if the name or the change id is not valid. */
function validateChange(proposed: DocumentVersionCopy): DeckError | undefined {
  if (!isDocumentName(proposed.name)) {
    return new DeckError("malformed_request", {
      message: `The name ${proposed.name} is not that of a document`,
    });
  }
  const length = proposed.changeId.length;
  if (length === 0 || length > MAX_CHANGE_ID_LENGTH) {
    return new DeckError("malformed_request", {
      message:
        `The change identity is not between 1 and ${MAX_CHANGE_ID_LENGTH} characters long`,
    });
  }
  return undefined;
}

function notFound(name: string): DeckError {
  return new DeckError("not_found", {
    message: `The document ${name} is not stored`,
  });
}

function outcomeUnknown(proposed: DocumentVersionCopy): DeckError {
  return new DeckError("outcome_unknown", {
    message:
      `The store did not tell whether the change ${proposed.changeId} of ${proposed.name} was committed`,
  });
}
