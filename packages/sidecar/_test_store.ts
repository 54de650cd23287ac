import {
  type Configuration,
  PlatformStore,
  type RecordChanges,
  type RecordListing,
  type RecordReadResult,
  type StoredConfiguration,
  type WorkerRecord,
} from "@oleanderdeck/directory";
import { DeckError } from "@oleanderdeck/errors";

interface Entry {
  readonly record: WorkerRecord | undefined;
  readonly revision: number;
}

/** Store in memory that all nodes of a test share. */
export class TestStore {
  /** Nodes that get no answer; `all` stands for every node. */
  readonly cutOff = new Set<string>();
  revision = 1;
  writes = 0;
  readonly entries = new Map<string, Entry>();
  configuration: Configuration | undefined;
  configurationRevision = 0;
  #waiting = new Set<() => void>();

  /** Wakes all watches after a change. */
  changed(): number {
    this.revision++;
    const waiting = this.#waiting;
    this.#waiting = new Set();
    waiting.forEach((wake) => wake());
    return this.revision;
  }

  /** Puts a configuration. */
  configure(configuration: Configuration): void {
    this.configuration = configuration;
    this.configurationRevision = this.changed();
  }

  /** Resolves at the next change or after a time. */
  wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#waiting.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, milliseconds).unref();
      this.#waiting.add(finish);
    });
  }
}

/** One node's way to the store in memory. */
export class TestRecords extends PlatformStore {
  readonly #store: TestStore;
  readonly #node: string;

  constructor(store: TestStore, node: string) {
    super();
    this.#store = store;
    this.#node = node;
  }

  async listRecords(): Promise<RecordListing> {
    await this.#reach();
    const { entries, revision } = this.#store;
    return {
      records: [...entries.values()].flatMap(({ record, revision }) =>
        record === undefined ? [] : [{ record, revision }]
      ),
      revision,
    };
  }

  async watchRecords(
    revision: number,
    waitMs: number,
  ): Promise<RecordChanges> {
    await this.#reach();
    const changes = () =>
      [...this.#store.entries].filter(([, entry]) => entry.revision > revision);
    if (changes().length === 0) await this.#store.wait(waitMs);
    await this.#reach();
    return {
      isHistoryGone: false,
      changes: changes().map(([node, entry]) => ({ node, ...entry })),
      revision: this.#store.revision,
    };
  }

  async readRecord(node: string): Promise<RecordReadResult> {
    await this.#reach();
    const entry = this.#store.entries.get(node);
    return entry?.record === undefined
      ? { record: undefined, revision: 0 }
      : entry;
  }

  async writeRecord(
    record: WorkerRecord,
    revision: number,
  ): Promise<number | undefined> {
    await this.#reach();
    const entry = this.#store.entries.get(record.node);
    const held = entry?.record === undefined ? 0 : entry.revision;
    if (held !== revision) return undefined;
    this.#store.writes++;
    const written = this.#store.revision + 1;
    this.#store.entries.set(record.node, { record, revision: written });
    return this.#store.changed();
  }

  async deleteRecord(node: string, revision: number): Promise<void> {
    await this.#reach();
    if (this.#store.entries.get(node)?.revision !== revision) return;
    const deleted = this.#store.revision + 1;
    this.#store.entries.set(node, { record: undefined, revision: deleted });
    this.#store.changed();
  }

  async readConfiguration(): Promise<StoredConfiguration> {
    await this.#reach();
    const { configuration, revision } = this.#store;
    return { configuration, revision };
  }

  async watchConfiguration(
    revision: number,
    waitMs: number,
  ): Promise<StoredConfiguration> {
    await this.#reach();
    if (this.#store.configurationRevision <= revision) {
      await this.#store.wait(waitMs);
      await this.#reach();
    }
    return {
      configuration: this.#store.configurationRevision > revision
        ? this.#store.configuration
        : undefined,
      revision: this.#store.revision,
    };
  }

  #reach(): Promise<void> {
    const { cutOff } = this.#store;
    return cutOff.has("all") || cutOff.has(this.#node)
      ? Promise.reject(new DeckError("store_unavailable"))
      : Promise.resolve();
  }
}
