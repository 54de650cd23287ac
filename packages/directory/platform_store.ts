import type { Configuration } from "./configuration.ts";
import { StoreEra, type StorePosition } from "./store_era.ts";
import type {
  StoredDeparture,
  StoredRecord,
  WorkerDeparture,
  WorkerRecord,
} from "./worker_record.ts";

/**
 * Time beyond the wait of a watch after which the watch fails if it has no
 * answer, in milliseconds.
 */
export const WATCH_MARGIN_MS = 500;

/** Change of one worker record. */
export interface RecordChange extends StorePosition {
  readonly node: string;
  /** Undefined if the record was deleted or replaced, or cannot be parsed. */
  readonly record: WorkerRecord | undefined;
  /** Departure that has replaced the record, if one has. */
  readonly departure?: WorkerDeparture | undefined;
}

/** Records of all nodes at one revision of the store. */
export interface RecordListing extends StorePosition {
  readonly records: readonly StoredRecord[];
  readonly departures: readonly StoredDeparture[];
}

/**
 * Changes of records after a revision, unless the store no longer has the
 * history from that revision on.
 */
export type RecordChanges =
  | {
    readonly isHistoryGone: false;
    readonly changes: readonly RecordChange[];
    readonly revision: number;
    /** Era of the revision; 0 if absent. */
    readonly era?: number | undefined;
  }
  | { readonly isHistoryGone: true };

/** Configuration that the store holds, with its revision. */
export interface StoredConfiguration extends StorePosition {
  readonly configuration: Configuration | undefined;
}

/** How current the data of a read has to be. */
export interface ReadOptions {
  /** Whether the data may be some seconds old, which costs the store less. */
  readonly mayBeOutdated: boolean;
}

/** Options of a watch of the configuration. */
export interface WatchOptions extends ReadOptions {
  /** Maximum time to wait, in milliseconds. */
  readonly waitMs: number;
}

/**
 * Result of reading the record of one node. Its revision is 0 if the store has
 * nothing.
 */
export interface RecordReadResult extends StorePosition {
  /** Undefined if the store has no record, or one that cannot be parsed. */
  readonly record: WorkerRecord | undefined;
  /** Departure that the store has in place of the record, if it has one. */
  readonly departure?: WorkerDeparture | undefined;
}

/**
 * Interface through which a node reads from the platform's store and writes to
 * it. Each method throws a `DeckError` of the kind `store_unavailable` if it
 * receives no usable response; a write may then have taken effect, or may take
 * effect later. An answer from before the current era is never returned.
 */
export abstract class PlatformStore {
  /** Highest era of the answers of the store. */
  readonly era = new StoreEra();

  /**
   * Lists the records of all nodes.
   *
   * @param options Age of the data; it may be outdated if omitted.
   */
  abstract listRecords(options?: ReadOptions): Promise<RecordListing>;

  /**
   * Waits for changes of records after a revision.
   *
   * @param revision Revision of the current era up to which changes are known.
   * @param waitMs Maximum time to wait, in milliseconds.
   * @returns No history if the era rises meanwhile.
   */
  abstract watchRecords(
    revision: number,
    waitMs: number,
  ): Promise<RecordChanges>;

  /** Reads the record of one node. */
  abstract readRecord(node: string): Promise<RecordReadResult>;

  /**
   * Writes a record if the store still holds the given revision of it.
   *
   * @param record Record to write.
   * @param revision Expected revision; 0 if the record must not exist yet.
   * @returns The new revision; undefined if the store holds a revision other
   * than the expected one, or its era rose before the answer.
   */
  abstract writeRecord(
    record: WorkerRecord,
    revision: number,
  ): Promise<number | undefined>;

  /**
   * Writes the departure of the worker beside a node in place of the node's
   * record, if the store still holds the given revision of that.
   *
   * @param node Name of the node.
   * @param departure Worker that has left.
   * @param revision Expected revision; 0 if the store must have nothing.
   * @returns The new revision; undefined as for {@linkcode writeRecord}.
   */
  abstract writeDeparture(
    node: string,
    departure: WorkerDeparture,
    revision: number,
  ): Promise<number | undefined>;

  /**
   * Deletes a record or departure if the store still holds the given revision of
   * it.
   */
  abstract deleteRecord(node: string, revision: number): Promise<void>;

  /** Reads the operator's configuration. */
  abstract readConfiguration(
    options: ReadOptions,
  ): Promise<StoredConfiguration>;

  /**
   * Waits for a configuration that is newer than a revision.
   *
   * @param revision Revision of the current era up to which changes are known.
   * @param options Time to wait and age of the data.
   * @returns Undefined if the store no longer has the history from that
   * revision on, or its era rises meanwhile.
   */
  abstract watchConfiguration(
    revision: number,
    options: WatchOptions,
  ): Promise<StoredConfiguration | undefined>;
}
