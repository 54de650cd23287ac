import type { Configuration } from "./configuration.ts";
import type { StoredRecord, WorkerRecord } from "./worker_record.ts";

/** Change of one record. */
export interface RecordChange {
  readonly node: string;
  /** Absent if the record was deleted or cannot be read. */
  readonly record: WorkerRecord | undefined;
  readonly revision: number;
}

/** Records at one revision of the store. */
export interface RecordListing {
  readonly records: readonly StoredRecord[];
  readonly revision: number;
}

/** Changes after a revision; the history may be gone. */
export type RecordChanges =
  | {
    readonly isHistoryGone: false;
    readonly changes: readonly RecordChange[];
    readonly revision: number;
  }
  | { readonly isHistoryGone: true };

/** Configuration that the store holds, with its revision. */
export interface StoredConfiguration {
  readonly configuration: Configuration | undefined;
  readonly revision: number;
}

/** Own record as the store holds it. */
export interface RecordReadResult {
  /** Absent if the store has none, or one that cannot be read. */
  readonly record: WorkerRecord | undefined;
  /** 0 if the store has none. */
  readonly revision: number;
}

/**
 * What a node reads from the platform's store and writes to it. Each method
 * throws a `DeckError` of the kind `store_unavailable` when no usable answer
 * came; a write may then have taken effect, or take effect later.
 */
export abstract class PlatformStore {
  /** Lists the records of all nodes. */
  abstract listRecords(): Promise<RecordListing>;

  /** Waits for changes of records after a revision, at most for a time. */
  abstract watchRecords(
    revision: number,
    waitMs: number,
  ): Promise<RecordChanges>;

  /** Reads one record. */
  abstract readRecord(node: string): Promise<RecordReadResult>;

  /**
   * Writes a record if the store still holds the given revision of it; 0 if it
   * must not exist.
   *
   * @returns The new revision; undefined if the store holds another one.
   */
  abstract writeRecord(
    record: WorkerRecord,
    revision: number,
  ): Promise<number | undefined>;

  /** Deletes a record if the store still holds the given revision of it. */
  abstract deleteRecord(node: string, revision: number): Promise<void>;

  /** Reads the configuration. */
  abstract readConfiguration(): Promise<StoredConfiguration>;

  /**
   * Waits for a configuration after a revision, at most for a time.
   *
   * @returns Undefined if the history is gone.
   */
  abstract watchConfiguration(
    revision: number,
    waitMs: number,
  ): Promise<StoredConfiguration | undefined>;
}
