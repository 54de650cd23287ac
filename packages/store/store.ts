import type { Either } from "purify-ts";
import type { DeckError } from "@oleanderdeck/errors";

/** One object of the platform's store. */
export interface StoredObject {
  /** Name, for example `agreement/lunchtable`. */
  readonly name: string;
  /** Revision of the store at which the object was written last, from 1. */
  readonly version: number;
  /** UTF-8 text, at most {@linkcode MAX_OBJECT_BYTES} bytes. */
  readonly value: string;
  /** Whether the object was deleted; the value is then empty. */
  readonly deleted: boolean;
}

/** Greatest size of an object in bytes. */
export const MAX_OBJECT_BYTES = 1_000_000;

/** Objects at one revision of the store. */
export interface StoreListing {
  /** Revision of the store at the time of the answer. */
  readonly revision: number;
  /** Objects in the order of their versions. */
  readonly objects: readonly StoredObject[];
}

/** Options of {@linkcode Store.put}. */
export interface PutOptions {
  /** Version that must be stored now; 0 if the object must not exist. */
  readonly expectedVersion: number;
}

/** Options of {@linkcode Store.watch}. */
export interface WatchOptions {
  /** The answer has only objects with a higher version. */
  readonly afterRevision: number;
  /** The answer comes after this time even if nothing changed. */
  readonly waitMs: number;
}

/**
 * Client of the platform's object store. Versions come from one revision
 * counter for all objects, so they order changes across objects.
 *
 * Every method answers on the left side with `store_unavailable` when the
 * store did not answer, with run `unknown` for a write that may have taken
 * effect; with `conflict` when the expected version differs; with `not_found`.
 */
export abstract class Store {
  /** Reads one object. A deleted object is `not_found`. */
  abstract get(name: string): Promise<Either<DeckError, StoredObject>>;

  /** Lists objects whose names begin with a prefix, deleted ones included. */
  abstract list(prefix: string): Promise<Either<DeckError, StoreListing>>;

  /** Writes an object if its version is the expected one. */
  abstract put(
    name: string,
    value: string,
    options: PutOptions,
  ): Promise<Either<DeckError, StoredObject>>;

  /** Deletes an object if its version is the expected one. */
  abstract delete(
    name: string,
    options: PutOptions,
  ): Promise<Either<DeckError, StoredObject>>;

  /** Waits for changes of objects whose names begin with a prefix. */
  abstract watch(
    prefix: string,
    options: WatchOptions,
  ): Promise<Either<DeckError, StoreListing>>;

  /** Ends waiting calls and closes connections. */
  abstract close(): Promise<void>;
}
