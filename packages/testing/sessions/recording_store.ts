import type { Either } from "purify-ts";
import {
  decodeStoredDocument,
  encodeStoredDocument,
  hashContent,
} from "@oleanderdeck/configuration";
import type { DeckError } from "@oleanderdeck/errors";
import {
  type ConditionalWriteOptions,
  MemoryStore,
  Store,
  type StoredObject,
  type StoreFaults,
  type StoreListing,
  type WatchOptions,
} from "@oleanderdeck/store";
import type { SessionRecorder } from "./session_recorder.ts";
import type { VirtualClock } from "@oleanderdeck/settings";

/** In-memory store that records committed changes and outages. */
export class RecordingStore extends Store {
  readonly #store: MemoryStore;
  readonly #recorder: SessionRecorder;
  #lastWrite: Promise<unknown> = Promise.resolve();

  constructor(clock: VirtualClock, recorder: SessionRecorder) {
    super();
    this.#store = new MemoryStore({ clock });
    this.#recorder = recorder;
  }

  /** Stores a document that exists before the session starts. */
  async seed(name: string, content: string): Promise<void> {
    const change = {
      changeId: `start of ${name}`,
      replacedVersion: 0,
      contentHash: hashContent(content, false),
    };
    const value = encodeStoredDocument({ content, deleted: false }, [change]);
    await this.put(name, value, { expectedVersion: 0 });
  }

  /** Sets the faults of the store and records changes of its availability. */
  setFaults(faults: Partial<StoreFaults>): void {
    const before = this.#store.faults().outage;
    this.#store.setFaults(faults);
    const after = this.#store.faults().outage;
    if (before === after) return;
    this.#recorder.record({
      kind: "store_changed",
      state: after === "none" ? "available" : "unavailable",
    });
  }

  override get(name: string): Promise<Either<DeckError, StoredObject>> {
    return this.#store.get(name);
  }

  override list(prefix: string): Promise<Either<DeckError, StoreListing>> {
    return this.#store.list(prefix);
  }

  // Writes are serialised so that the revision of the store after a write is
  // the version of that write, even if its response is lost.
  override put(
    name: string,
    value: string,
    options: ConditionalWriteOptions,
  ): Promise<Either<DeckError, StoredObject>> {
    const write = this.#lastWrite.then(async () => {
      const answer = await this.#store.put(name, value, options);
      const committed = answer.isRight() ||
        answer.swap().unsafeCoerce().run === "unknown";
      if (committed) this.#record(name, value, options.expectedVersion);
      return answer;
    });
    this.#lastWrite = write;
    return write;
  }

  override delete(
    name: string,
    options: ConditionalWriteOptions,
  ): Promise<Either<DeckError, StoredObject>> {
    return this.#store.delete(name, options);
  }

  override watch(
    prefix: string,
    options: WatchOptions,
  ): Promise<Either<DeckError, StoreListing>> {
    return this.#store.watch(prefix, options);
  }

  override close(): Promise<void> {
    return this.#store.close();
  }

  #record(name: string, value: string, replaced: number): void {
    const version = this.#store.revision();
    const stored = decodeStoredDocument({
      name,
      version,
      value,
      deleted: false,
    });
    this.#recorder.record({
      kind: "change_committed",
      change: stored!.copy.changeId,
      document: name,
      version,
      replaced,
    });
  }
}
