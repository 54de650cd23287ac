import type { Either } from "purify-ts";
import {
  DocumentPeer,
  type DocumentRequest,
} from "@oleanderdeck/configuration";
import type { DeckError } from "@oleanderdeck/errors";
import type { Member } from "@oleanderdeck/protocol";
import {
  type ConditionalWriteOptions,
  Store,
  type StoredObject,
  type StoreListing,
  type WatchOptions,
} from "@oleanderdeck/store";
import type { ProcessClock } from "./process_clock.ts";

/**
 * Access of one process to the store. A paused process receives responses after
 * it is resumed, and a killed process receives none.
 */
export class ProcessStore extends Store {
  readonly #store: Store;
  readonly #clock: ProcessClock;

  constructor(store: Store, clock: ProcessClock) {
    super();
    this.#store = store;
    this.#clock = clock;
  }

  override get(name: string): Promise<Either<DeckError, StoredObject>> {
    return this.#receive(this.#store.get(name));
  }

  override list(prefix: string): Promise<Either<DeckError, StoreListing>> {
    return this.#receive(this.#store.list(prefix));
  }

  override put(
    name: string,
    value: string,
    options: ConditionalWriteOptions,
  ): Promise<Either<DeckError, StoredObject>> {
    return this.#receive(this.#store.put(name, value, options));
  }

  override delete(
    name: string,
    options: ConditionalWriteOptions,
  ): Promise<Either<DeckError, StoredObject>> {
    return this.#receive(this.#store.delete(name, options));
  }

  override watch(
    prefix: string,
    options: WatchOptions,
  ): Promise<Either<DeckError, StoreListing>> {
    return this.#receive(this.#store.watch(prefix, options));
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  async #receive<Answer>(pending: Promise<Answer>): Promise<Answer> {
    const answer = await pending;
    await this.#clock.waitUntilRunning();
    return answer;
  }
}

/** Access of one process to the documents of other nodes. */
export class ProcessDocuments extends DocumentPeer {
  readonly #documents: DocumentPeer;
  readonly #clock: ProcessClock;

  constructor(documents: DocumentPeer, clock: ProcessClock) {
    super();
    this.#documents = documents;
    this.#clock = clock;
  }

  override async fetch(member: Member, request: DocumentRequest) {
    const answer = await this.#documents.fetch(member, request);
    await this.#clock.waitUntilRunning();
    return answer;
  }
}
