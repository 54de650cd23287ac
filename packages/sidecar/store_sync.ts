import {
  type ConfigurationHolder,
  isSameRecord,
  type PlatformStore,
  type WorkerDirectory,
  type WorkerRecord,
} from "@oleanderdeck/directory";
import type { EventLog } from "@oleanderdeck/observability";
import { sleep } from "./_sleep.ts";

/** Longest time that one watch waits, in milliseconds. */
const WATCH_WAIT_MS = 10_000;

/** Time for which changes of records are collected, in milliseconds. */
const CHANGE_BATCH_MS = 500;

/** Age up to which records are taken for those of the store, in milliseconds. */
const MAX_RECORDS_AGE_MS = WATCH_WAIT_MS + 2_000;

/** Age of the data that the store may answer with, in milliseconds. */
const MAX_STALENESS_MS = 3_000;

/**
 * Time within which a node that follows the store learns of a new worker, in
 * milliseconds.
 */
export const PROPAGATION_MS = MAX_RECORDS_AGE_MS + MAX_STALENESS_MS;

/** First and longest pause after a failed call, in milliseconds. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 500;

/** Options of {@linkcode StoreSync}. */
export interface StoreSyncOptions {
  readonly records: PlatformStore;
  readonly directory: WorkerDirectory;
  readonly configuration: ConfigurationHolder;
  readonly log: EventLog;
  /** Name of this node's own record. */
  readonly node: string;
  /** Called with what the store held of this node when it started. */
  readonly onOwnRecord: (record: WorkerRecord | undefined) => void;
}

/**
 * Keeps the directory and the configuration at the state of the platform's
 * store, and the store's record of this node at the state of the node. Each
 * lasts through outages of the store: what is known stays in use.
 */
export class StoreSync {
  readonly #options: StoreSyncOptions;
  #desiredRecord: WorkerRecord | undefined;
  #isWithdrawing = false;
  #wake: (() => void) | undefined;
  #isClosed = false;
  #isStoreUnavailable = false;
  #lastContactAt = -Infinity;
  #recordsSyncedAt = -Infinity;

  /** @param options Store and what is kept at its state. */
  constructor(options: StoreSyncOptions) {
    this.#options = options;
  }

  /** Whether the last call to the store failed. */
  get isStoreUnavailable(): boolean {
    return this.#isStoreUnavailable;
  }

  /** Time since the store last answered about the configuration. */
  get silentMs(): number {
    return performance.now() - this.#lastContactAt;
  }

  /** Whether the records of all workers are those of the store, or were lately. */
  get hasFreshRecords(): boolean {
    return performance.now() - this.#recordsSyncedAt < MAX_RECORDS_AGE_MS;
  }

  /** Starts the three tasks. */
  start(): void {
    void this.#followConfiguration();
    void this.#followRecords();
    void this.#syncOwnRecord();
  }

  /** Sets the record that the store is to hold of this node. */
  publish(record: WorkerRecord): void {
    if (
      this.#desiredRecord !== undefined &&
      isSameRecord(this.#desiredRecord, record)
    ) {
      return;
    }
    this.#desiredRecord = record;
    this.#wake?.();
  }

  /** Removes the record of this node from the store. */
  withdraw(): void {
    this.#isWithdrawing = true;
    this.#wake?.();
  }

  /** Ends the tasks. */
  close(): void {
    this.#isClosed = true;
    this.#wake?.();
  }

  async #followConfiguration(): Promise<void> {
    const { records, configuration } = this.#options;
    let revision = 0;
    let failures = 0;
    while (!this.#isClosed) {
      try {
        const stored = revision === 0
          ? await records.readConfiguration()
          : await records.watchConfiguration(revision, WATCH_WAIT_MS);
        failures = 0;
        this.#recordContact();
        revision = stored?.revision ?? 0;
        if (stored?.configuration !== undefined) {
          configuration.put(stored.configuration);
        } else if (configuration.version === 0) await sleep(MIN_BACKOFF_MS);
      } catch (error) {
        this.#recordFailure("configuration", error);
        await sleep(backoffMs(failures++));
      }
    }
  }

  async #followRecords(): Promise<void> {
    const { records, directory } = this.#options;
    let revision = 0;
    let failures = 0;
    while (!this.#isClosed) {
      try {
        if (revision === 0) {
          const listing = await records.listRecords();
          revision = listing.revision;
          directory.replaceAll(listing.records, revision);
        } else {
          const changes = await records.watchRecords(revision, WATCH_WAIT_MS);
          if (changes.isHistoryGone) revision = 0;
          else {
            changes.changes.forEach(({ node, record, revision }) =>
              record === undefined
                ? directory.remove(node, revision)
                : directory.put({ record, revision })
            );
            revision = changes.revision;
            // Changes come in groups, and each answer is a call for each node.
            if (changes.changes.length > 0) await sleep(CHANGE_BATCH_MS);
          }
        }
        failures = 0;
        this.#recordsSyncedAt = performance.now();
        this.#wake?.();
      } catch (error) {
        this.#recordFailure("records", error);
        await sleep(backoffMs(failures++));
      }
    }
  }

  async #syncOwnRecord(): Promise<void> {
    const { records, directory, node } = this.#options;
    let failures = 0;
    let revision: number | undefined;
    while (!this.#isClosed) {
      try {
        if (revision === undefined) {
          const own = await records.readRecord(node);
          revision = own.revision;
          if (own.record !== undefined) {
            directory.put({ record: own.record, revision });
          }
          this.#options.onOwnRecord(own.record);
        }
        const written: number | undefined | "unchanged" = await this
          .#writeOwnRecord(revision);
        if (written === "unchanged") await this.#waitForWake();
        revision = written === "unchanged"
          ? directory.revisionOf(node)
          : written;
        failures = 0;
      } catch (error) {
        this.#recordFailure("own_record", error);
        revision = undefined;
        await sleep(backoffMs(failures++));
      }
    }
  }

  // Returns the new revision; undefined if the store holds another one.
  async #writeOwnRecord(
    revision: number,
  ): Promise<number | undefined | "unchanged"> {
    const { records, directory, node } = this.#options;
    const known = directory.get(node);
    if (this.#isWithdrawing) {
      if (known === undefined) return "unchanged";
      await records.deleteRecord(node, revision);
      directory.remove(node, revision);
      return "unchanged";
    }
    const desiredRecord = this.#desiredRecord;
    if (desiredRecord === undefined) return "unchanged";
    await this.#removePredecessors(desiredRecord.address);
    if (known !== undefined && isSameRecord(known, desiredRecord)) {
      return "unchanged";
    }
    const written = await records.writeRecord(desiredRecord, revision);
    if (written !== undefined) {
      directory.put({ record: desiredRecord, revision: written });
    }
    return written;
  }

  // Records of hosts that had the address of this one before.
  async #removePredecessors(address: string): Promise<void> {
    const { records, directory, log, node } = this.#options;
    const stale = directory.records.filter(({ record }) =>
      record.address === address && record.node !== node
    );
    for (const { record, revision } of stale) {
      await records.deleteRecord(record.node, revision);
      directory.remove(record.node, revision);
      log.write("info", "predecessor_removed", { peer: record.node, address });
    }
  }

  #waitForWake(): Promise<void> {
    return new Promise((resolve) => {
      this.#wake = () => {
        this.#wake = undefined;
        resolve();
      };
    });
  }

  #recordContact(): void {
    this.#lastContactAt = performance.now();
    if (!this.#isStoreUnavailable) return;
    this.#isStoreUnavailable = false;
    this.#options.log.write("info", "store_regained");
  }

  #recordFailure(task: string, error: unknown): void {
    if (this.#isStoreUnavailable || this.#isClosed) return;
    this.#isStoreUnavailable = true;
    this.#options.log.write("warn", "store_lost", {
      task,
      reason: error instanceof Error ? error.message : String(error),
    });
  }
}

function backoffMs(failures: number): number {
  const maxDelay = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** failures);
  return maxDelay * (0.5 + Math.random() / 2);
}
