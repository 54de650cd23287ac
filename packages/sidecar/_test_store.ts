import {
  type Configuration,
  PlatformStore,
  type ReadOptions,
  type RecordChanges,
  type RecordListing,
  type RecordReadResult,
  type StoredConfiguration,
  type WatchOptions,
  type WorkerDeparture,
  type WorkerRecord,
} from "@oleanderdeck/directory";
import { DeckError } from "@oleanderdeck/errors";

/**
 * Record of a node, undefined if deleted or replaced by a departure, and the
 * revision of its change.
 */
interface VersionedRecord {
  readonly record: WorkerRecord | undefined;
  readonly departure?: WorkerDeparture;
  readonly revision: number;
}

/** State of the store after a change. */
interface Copy {
  readonly takenAt: number;
  readonly revision: number;
  readonly entries: ReadonlyMap<string, VersionedRecord>;
  readonly configuration: Configuration | undefined;
  readonly configurationRevision: number;
}

function isDeleted({ departure, record }: VersionedRecord): boolean {
  return record === undefined && departure === undefined;
}

/** In-memory store that all nodes of a test share. */
export class TestStore {
  /** Nodes that cannot reach the store; `all` stands for every node. */
  readonly unreachableNodes = new Set<string>();
  revision = 1;
  /** Number of writes of records. */
  writes = 0;
  /** Nodes that have read the latest configuration, in the order of reads. */
  readonly configurationReaders: string[] = [];
  /** Nodes that have read a record of their own. */
  readonly recordReaders: string[] = [];
  /** Nodes whose reads of the latest configuration get no answer. */
  readonly silentNodes = new Set<string>();
  /** Nodes whose reads of the configuration get no answer, outdated or not. */
  readonly cutOffNodes = new Set<string>();
  readonly entries = new Map<string, VersionedRecord>();
  configuration: Configuration | undefined;
  configurationRevision = 0;
  /** Delay of a changed configuration in outdated data, in milliseconds. */
  lagMs = 0;
  /** Rises whenever the store goes back to an older copy, if it has eras. */
  era = 0;
  /** Whether the store has eras, as all have but those of earlier releases. */
  hasEras = true;
  /** Returns the delay of the next answer, in milliseconds. */
  answerDelayMs = () => 0;
  readonly #copies: Copy[] = [];
  #waiting = new Set<() => void>();

  /**
   * Completes a change: increments the revision and wakes all watches.
   *
   * @returns The new revision.
   */
  commitChange(): number {
    this.revision++;
    this.#keepCopy();
    this.#wakeAll();
    return this.revision;
  }

  /**
   * Goes back to the state of some time ago, after which the store gives out the
   * same revisions again.
   *
   * @param ageMs Age of that state, in milliseconds.
   */
  restoreCopy(ageMs: number): void {
    const until = performance.now() - ageMs;
    while (this.#copies.length > 0 && this.#copies.at(-1)!.takenAt > until) {
      this.#copies.pop();
    }
    const copy = this.#copies.at(-1);
    this.entries.clear();
    copy?.entries.forEach((entry, node) => this.entries.set(node, entry));
    this.revision = copy?.revision ?? 1;
    this.configuration = copy?.configuration;
    this.configurationRevision = copy?.configurationRevision ?? 0;
    if (this.hasEras) this.era++;
    this.#wakeAll();
  }

  #keepCopy(): void {
    const { configuration, configurationRevision, entries, revision } = this;
    this.#copies.push({
      takenAt: performance.now(),
      revision,
      entries: new Map(entries),
      configuration,
      configurationRevision,
    });
  }

  #wakeAll(): void {
    const waiting = this.#waiting;
    this.#waiting = new Set();
    waiting.forEach((wake) => wake());
  }

  /** Stores a configuration. */
  configure(configuration: Configuration): void {
    this.configuration = configuration;
    this.configurationRevision = this.revision + 1;
    this.commitChange();
  }

  /** Waits for the time by which outdated data lag behind. */
  waitUntilOutdated(): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, this.lagMs).unref());
  }

  /** Waits for the next change, at most for a time in milliseconds. */
  waitForChange(milliseconds: number): Promise<void> {
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

/** Client of the in-memory store for one node. */
export class TestStoreClient extends PlatformStore {
  readonly #store: TestStore;
  readonly #node: string;

  constructor(store: TestStore, node: string) {
    super();
    this.#store = store;
    this.#node = node;
  }

  async listRecords(_options?: ReadOptions): Promise<RecordListing> {
    await this.#checkReachable();
    const { entries, era, revision } = this.#store;
    return await this.#answer({
      records: [...entries.values()].flatMap(({ record, revision }) =>
        record === undefined ? [] : [{ record, revision, era }]
      ),
      departures: [...entries].flatMap(([node, { departure, revision }]) =>
        departure === undefined ? [] : [{ node, departure, revision, era }]
      ),
      revision,
      era,
    });
  }

  async watchRecords(
    revision: number,
    waitMs: number,
  ): Promise<RecordChanges> {
    return await this.era.untilRise(this.#watchRecords(revision, waitMs)) ??
      { isHistoryGone: true };
  }

  async #watchRecords(
    revision: number,
    waitMs: number,
  ): Promise<RecordChanges> {
    await this.#checkReachable();
    if (this.#isUnknown(revision)) {
      await this.#answer({ era: this.#store.era });
      return { isHistoryGone: true };
    }
    const changes = () =>
      [...this.#store.entries].filter(([, entry]) => entry.revision > revision);
    if (changes().length === 0) await this.#store.waitForChange(waitMs);
    await this.#checkReachable();
    const { era } = this.#store;
    return await this.#answer({
      isHistoryGone: false,
      changes: changes().map(([node, entry]) => ({ node, ...entry, era })),
      revision: this.#store.revision,
      era,
    });
  }

  async readRecord(node: string): Promise<RecordReadResult> {
    await this.#checkReachable();
    this.#store.recordReaders.push(this.#node);
    const { era } = this.#store;
    const entry = this.#store.entries.get(node);
    return await this.#answer(
      entry === undefined || isDeleted(entry)
        ? { record: undefined, revision: 0, era }
        : { ...entry, era },
    );
  }

  async writeRecord(
    record: WorkerRecord,
    revision: number,
  ): Promise<number | undefined> {
    return await this.era.untilRise(
      this.#write(record.node, { record }, revision),
    );
  }

  async writeDeparture(
    node: string,
    departure: WorkerDeparture,
    revision: number,
  ): Promise<number | undefined> {
    return await this.era.untilRise(
      this.#write(node, { record: undefined, departure }, revision),
    );
  }

  async #write(
    node: string,
    content: Omit<VersionedRecord, "revision">,
    revision: number,
  ): Promise<number | undefined> {
    await this.#checkReachable();
    const { era } = this.#store;
    const entry = this.#store.entries.get(node);
    const held = entry === undefined || isDeleted(entry) ? 0 : entry.revision;
    if (held !== revision) return (await this.#answer({ era })) && undefined;
    this.#store.writes++;
    const written = this.#store.revision + 1;
    this.#store.entries.set(node, { ...content, revision: written });
    this.#store.commitChange();
    await this.#answer({ era });
    return written;
  }

  async deleteRecord(node: string, revision: number): Promise<void> {
    await this.#checkReachable();
    if (this.#store.entries.get(node)?.revision !== revision) return;
    const deleted = this.#store.revision + 1;
    this.#store.entries.set(node, { record: undefined, revision: deleted });
    this.#store.commitChange();
  }

  async readConfiguration(
    options: ReadOptions,
  ): Promise<StoredConfiguration> {
    await this.#checkReachable();
    await this.#startConfigurationRead(options);
    const { configuration, era, revision } = this.#store;
    return await this.#answer({ configuration, revision, era });
  }

  async watchConfiguration(
    revision: number,
    options: WatchOptions,
  ): Promise<StoredConfiguration | undefined> {
    return await this.era.untilRise(
      this.#watchConfiguration(revision, options),
    );
  }

  async #watchConfiguration(
    revision: number,
    options: WatchOptions,
  ): Promise<StoredConfiguration | undefined> {
    await this.#checkReachable();
    await this.#startConfigurationRead(options);
    if (this.#isUnknown(revision)) {
      await this.#answer({ era: this.#store.era });
      return undefined;
    }
    const { mayBeOutdated, waitMs } = options;
    if (this.#store.configurationRevision <= revision) {
      await this.#store.waitForChange(waitMs);
      if (mayBeOutdated) await this.#store.waitUntilOutdated();
      if (this.#store.cutOffNodes.has(this.#node)) await new Promise(() => {});
      await this.#checkReachable();
    }
    const { configuration, configurationRevision, era } = this.#store;
    return await this.#answer({
      configuration: configurationRevision > revision
        ? configuration
        : undefined,
      revision: this.#store.revision,
      era,
    });
  }

  async #startConfigurationRead({ mayBeOutdated }: ReadOptions): Promise<void> {
    if (this.#store.cutOffNodes.has(this.#node)) await new Promise(() => {});
    if (mayBeOutdated) return;
    if (this.#store.silentNodes.has(this.#node)) await new Promise(() => {});
    this.#store.configurationReaders.push(this.#node);
  }

  // Whether the store, which may have gone back, has not given out a revision.
  #isUnknown(revision: number): boolean {
    return revision > this.#store.revision;
  }

  // Delivers an answer, which is late if it is of an earlier era by then.
  async #answer<Answer extends { readonly era?: number | undefined }>(
    answer: Answer,
  ): Promise<Answer> {
    const delayMs = this.#store.answerDelayMs();
    if (delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, delayMs));
    }
    if (this.era.observe(answer.era ?? 0)) return answer;
    throw new DeckError("store_unavailable", {
      message: "The store answered from before its current era",
    });
  }

  #checkReachable(): Promise<void> {
    const { unreachableNodes } = this.#store;
    return unreachableNodes.has("all") || unreachableNodes.has(this.#node)
      ? Promise.reject(new DeckError("store_unavailable"))
      : Promise.resolve();
  }
}
