import { setMaxListeners } from "node:events";
import { type Either, Left, Right } from "purify-ts";
import { DeckError } from "@oleanderdeck/errors";
import type { Clock } from "@oleanderdeck/settings";
import {
  type ConditionalWriteOptions,
  MAX_OBJECT_BYTES,
  Store,
  type StoredObject,
  type StoreListing,
  type WatchOptions,
} from "./store.ts";
import {
  NO_FAULTS,
  STORE_CALL_KINDS,
  type StoreCallKind,
  type StoreCounters,
  type StoreFaults,
} from "./store_faults.ts";

/** Maximum length of an object's name, in UTF-16 code units. */
export const MAX_NAME_LENGTH = 512;

/** Options of {@linkcode MemoryStore}. */
export interface MemoryStoreOptions {
  readonly clock: Clock;
  /** Maximum number of objects, including deleted ones; 100,000 by default. */
  readonly maximumObjects?: number;
  /** Maximum number of concurrent calls; 10,000 by default. */
  readonly maximumCalls?: number;
}

function unavailable(message: string, run: "no" | "unknown" = "no") {
  return Left(new DeckError("store_unavailable", { message, run }));
}

/** Store in memory with fault injection for tests. */
export class MemoryStore extends Store {
  readonly #clock: Clock;
  readonly #maximumObjects: number;
  readonly #maximumCalls: number;
  readonly #objects = new Map<string, StoredObject>();
  #faults: StoreFaults = NO_FAULTS;
  #counters = emptyCounters();
  #revision = 0;
  #closed = false;
  #runningCalls = 0;
  /** Aborted and replaced when objects, faults or the closed state change. */
  #changeController = newChangeController();

  /** @param options Clock and bounds. */
  constructor(options: MemoryStoreOptions) {
    super();
    this.#clock = options.clock;
    this.#maximumObjects = options.maximumObjects ?? 100_000;
    this.#maximumCalls = options.maximumCalls ?? 10_000;
  }

  /** Returns the currently injected faults. */
  faults(): StoreFaults {
    return this.#faults;
  }

  /** Changes the injected faults. Absent fields stay unchanged. */
  setFaults(faults: Partial<StoreFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
    this.#signalChange();
  }

  /** Returns the number of calls by kind. */
  counters(): StoreCounters {
    return { ...this.#counters };
  }

  /** Sets all counters to 0. */
  resetCounters(): void {
    this.#counters = emptyCounters();
  }

  /** Returns the revision of the last write; 0 before the first one. */
  revision(): number {
    return this.#revision;
  }

  get(name: string): Promise<Either<DeckError, StoredObject>> {
    return this.#run("get", () => {
      const object = this.#objects.get(name);
      return object === undefined || object.deleted
        ? Left(new DeckError("not_found"))
        : Right(object);
    });
  }

  list(prefix: string): Promise<Either<DeckError, StoreListing>> {
    return this.#run("list", () => Right(this.#select(prefix, 0)));
  }

  put(
    name: string,
    value: string,
    options: ConditionalWriteOptions,
  ): Promise<Either<DeckError, StoredObject>> {
    return this.#run("put", () => {
      if (name.length === 0 || name.length > MAX_NAME_LENGTH) {
        return Left(
          new DeckError("malformed_request", {
            message:
              `The object name is not between 1 and ${MAX_NAME_LENGTH} characters long`,
          }),
        );
      }
      if (Buffer.byteLength(value) > MAX_OBJECT_BYTES) {
        return Left(
          new DeckError("too_large", {
            message: `The object is larger than ${MAX_OBJECT_BYTES} bytes`,
          }),
        );
      }
      if (
        !this.#objects.has(name) && this.#objects.size >= this.#maximumObjects
      ) {
        return Left(
          new DeckError("too_large", {
            message: `The store holds ${this.#maximumObjects} objects already`,
          }),
        );
      }
      return this.#write(name, { value, deleted: false }, options);
    });
  }

  delete(
    name: string,
    options: ConditionalWriteOptions,
  ): Promise<Either<DeckError, StoredObject>> {
    return this.#run("delete", () => {
      const object = this.#objects.get(name);
      return object === undefined || object.deleted
        ? Left(new DeckError("not_found"))
        : this.#write(name, { value: "", deleted: true }, options);
    });
  }

  watch(
    prefix: string,
    options: WatchOptions,
  ): Promise<Either<DeckError, StoreListing>> {
    return this.#run("watch", async () => {
      const end = this.#clock.now() + options.waitMs;
      while (true) {
        const listing = this.#select(prefix, options.afterRevision);
        const remaining = end - this.#clock.now();
        if (listing.objects.length > 0 || remaining <= 0) return Right(listing);
        await this.#clock.sleep(remaining, this.#changeController.signal);
        if (this.#closed) return unavailable("The store was closed");
        if (this.#faults.outage === "refuse") {
          return unavailable("The store has an outage");
        }
        await this.#waitWhileHanging();
      }
    });
  }

  close(): Promise<void> {
    this.#closed = true;
    this.#signalChange();
    return Promise.resolve();
  }

  async #run<Result>(
    kind: StoreCallKind,
    body: () =>
      | Either<DeckError, Result>
      | Promise<Either<DeckError, Result>>,
  ): Promise<Either<DeckError, Result>> {
    this.#counters[kind]++;
    if (this.#runningCalls >= this.#maximumCalls) {
      return unavailable("The store has too many calls at one time");
    }
    this.#runningCalls++;
    try {
      if (this.#faults.delayMs > 0) {
        await this.#clock.sleep(this.#faults.delayMs);
      }
      await this.#waitWhileHanging();
      if (this.#closed) return unavailable("The store was closed");
      if (this.#faults.outage === "refuse") {
        return unavailable("The store has an outage");
      }
      return await body();
    } finally {
      this.#runningCalls--;
    }
  }

  async #waitWhileHanging(): Promise<void> {
    while (this.#faults.outage === "hang" && !this.#closed) {
      await this.#clock.sleep(MAX_SLEEP_MS, this.#changeController.signal);
    }
  }

  #write(
    name: string,
    content: Pick<StoredObject, "value" | "deleted">,
    options: ConditionalWriteOptions,
  ): Either<DeckError, StoredObject> {
    const previous = this.#objects.get(name);
    const version = previous === undefined || previous.deleted
      ? 0
      : previous.version;
    if (version !== options.expectedVersion) {
      return Left(
        new DeckError("conflict", {
          message:
            `The stored version is ${version}, not ${options.expectedVersion}`,
        }),
      );
    }
    this.#revision++;
    const object = { name, version: this.#revision, ...content };
    // A map iterates in insertion order. Each write inserts the object anew, so
    // that the objects are in the order of their versions.
    this.#objects.delete(name);
    this.#objects.set(name, object);
    const answerLost = this.#faults.loseWriteAnswers > 0;
    if (answerLost) {
      this.#faults = {
        ...this.#faults,
        loseWriteAnswers: this.#faults.loseWriteAnswers - 1,
      };
    }
    this.#signalChange();
    return answerLost
      ? unavailable("The answer of the store was lost", "unknown")
      : Right(object);
  }

  #select(prefix: string, afterRevision: number): StoreListing {
    return {
      revision: this.#revision,
      objects: afterRevision >= this.#revision
        ? []
        : [...this.#objects.values()].filter((object) =>
          object.version > afterRevision && object.name.startsWith(prefix)
        ),
    };
  }

  #signalChange(): void {
    const previous = this.#changeController;
    this.#changeController = newChangeController();
    previous.abort();
  }
}

/** Maximum delay that `setTimeout` accepts, about 24.8 days. */
const MAX_SLEEP_MS = 2 ** 31 - 1;

/** Creates a controller on whose signal any number of calls can wait. */
function newChangeController(): AbortController {
  const change = new AbortController();
  setMaxListeners(0, change.signal);
  return change;
}

function emptyCounters(): Record<StoreCallKind, number> {
  return Object.fromEntries(
    STORE_CALL_KINDS.map((kind) => [kind, 0]),
  ) as Record<StoreCallKind, number>;
}
