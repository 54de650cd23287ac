import type { Either } from "purify-ts";
import type { DeckError } from "@oleanderdeck/errors";

/** Object in the platform's store. */
export interface StoredObject {
  /** Name, for example `agreement/lunchtable`. */
  readonly name: string;
  /** Revision of the store at the last write of the object, from 1. */
  readonly version: number;
  /** UTF-8 text, at most {@linkcode MAX_OBJECT_BYTES} bytes. */
  readonly value: string;
  /** Whether the object was deleted; the value is then empty. */
  readonly deleted: boolean;
}

/** Maximum size of an object's value, in bytes. */
export const MAX_OBJECT_BYTES = 1_000_000;

/** Objects at one revision of the store. */
export interface StoreListing {
  /** Revision of the store up to which the listing is complete. */
  readonly revision: number;
  /** Objects in ascending order of their versions. */
  readonly objects: readonly StoredObject[];
}

/** Options of {@linkcode Store.put} and {@linkcode Store.delete}. */
export interface ConditionalWriteOptions {
  /** Version that the object must have now; 0 if it must not exist. */
  readonly expectedVersion: number;
}

/** Options of {@linkcode Store.watch}. */
export interface WatchOptions {
  /** Only objects with a version above this revision are returned. */
  readonly afterRevision: number;
  /**
   * Time after which the watch returns even if nothing has changed, in
   * milliseconds.
   */
  readonly waitMs: number;
}

/**
 * Client of the platform's object store. Versions come from one revision
 * counter for all objects, so they order changes across objects.
 *
 * Errors are on the left side: `store_unavailable` if the store did not answer,
 * with run `unknown` for a write that may have taken effect; `conflict` if the
 * object does not have the expected version; `not_found` if it does not exist;
 * `too_large` if a limit of the store is exceeded.
 */
export abstract class Store {
  /** Reads an object. A deleted object is reported as `not_found`. */
  abstract get(name: string): Promise<Either<DeckError, StoredObject>>;

  /** Lists objects whose names begin with a prefix, including deleted ones. */
  abstract list(prefix: string): Promise<Either<DeckError, StoreListing>>;

  /** Writes an object if it has the expected version. */
  abstract put(
    name: string,
    value: string,
    options: ConditionalWriteOptions,
  ): Promise<Either<DeckError, StoredObject>>;

  /** Deletes an object if it has the expected version. */
  abstract delete(
    name: string,
    options: ConditionalWriteOptions,
  ): Promise<Either<DeckError, StoredObject>>;

  /**
   * Waits until objects whose names begin with a prefix have changed, and
   * returns these objects, including deleted ones.
   */
  abstract watch(
    prefix: string,
    options: WatchOptions,
  ): Promise<Either<DeckError, StoreListing>>;

  /** Aborts pending calls and closes all connections. */
  abstract close(): Promise<void>;
}
