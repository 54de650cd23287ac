import {
  eraOf,
  isLater,
  isSameRecord,
  type PlatformStore,
  type StoredDeparture,
  type WorkerDeparture,
  type WorkerDirectory,
  type WorkerRecord,
} from "@oleanderdeck/directory";
import type { EventLog } from "@oleanderdeck/observability";
import { LATE_HEARTBEAT_MS, UNKNOWN_START } from "@oleanderdeck/serving";
import { backoffMs } from "./_backoff.ts";
import { RecordFollower } from "./_record_follower.ts";
import { sleep } from "./_sleep.ts";
import type { StoreAvailability } from "./store_availability.ts";

export { PROPAGATION_MS } from "./_record_follower.ts";

/** Options of {@linkcode RecordSync}. */
export interface RecordSyncOptions {
  readonly store: PlatformStore;
  readonly directory: WorkerDirectory;
  readonly availability: StoreAvailability;
  readonly log: EventLog;
  /** Name of this node's own record. */
  readonly node: string;
  /**
   * Called with the record of this node that the store holds, or undefined if it
   * holds none or that of a worker that had left: at a start with a listed record,
   * after a failed call or a conflicting write, and after a rise of the era.
   */
  readonly onOwnRecord: (record: WorkerRecord | undefined) => void;
  /**
   * Called with a departure that the store holds in place of the record of this
   * node, from this process or an earlier one.
   */
  readonly onOwnDeparture: (departure: WorkerDeparture) => void;
}

/**
 * Synchronises the directory from the platform's store, and the store's record
 * of this node from the state of the node. During an outage of the store, the
 * last known directory stays in use. After a rise of the store's era, the record
 * of this node, or the departure in place of it, is written again if the store has
 * lost it.
 */
export class RecordSync {
  readonly #options: RecordSyncOptions;
  #desiredRecord: WorkerRecord | undefined;
  #isWithdrawing = false;
  /** Departure that is written in place of a withdrawn record, if any. */
  #desiredDeparture: WorkerDeparture | undefined;
  /** Departure that the store holds in place of the record of this node. */
  #storedDeparture: StoredDeparture | undefined;
  /**
   * Departure that the store has held last, unless a record has replaced it since.
   * An older copy of the store may lack it.
   */
  #lastDeparture: StoredDeparture | undefined;
  readonly #withdrawalListeners: (() => void)[] = [];
  #wake: (() => void) | undefined;
  /** Whether something has changed since the record was last compared. */
  #hasChanged = false;
  #isClosed = false;
  readonly #follower: RecordFollower;

  /** @param options Store, and the directory to update. */
  constructor(options: RecordSyncOptions) {
    this.#options = options;
    this.#follower = new RecordFollower({
      ...options,
      onDeparture: (stored) => this.#learn(stored),
      onRead: () => this.#wakeUp(),
    });
    options.store.era.onRise(() => {
      this.#storedDeparture = undefined;
      this.#wakeUp();
    });
  }

  /**
   * Whether the records of the directory were read from the store recently enough
   * to be up to date.
   */
  get hasFreshRecords(): boolean {
    return this.#follower.hasFreshRecords;
  }

  /** Whether the records of the store were listed since the start. */
  get hasListed(): boolean {
    return this.#follower.hasListed;
  }

  /**
   * Whether a worker has left and the store, as far as this node knows, does not
   * hold that yet.
   */
  get hasUnwrittenDeparture(): boolean {
    return this.#isWithdrawing && this.#desiredDeparture !== undefined &&
      !isSameIncarnation(
        this.#desiredDeparture,
        this.#storedDeparture?.departure,
      );
  }

  /** Starts to follow the records of all nodes and to write that of this one. */
  start(): void {
    void this.#follower.follow();
    void this.#syncOwnRecord();
  }

  /**
   * Sets the record of this node that is written to the store.
   *
   * @param record State of this node and its worker.
   */
  publish(record: WorkerRecord): void {
    this.#isWithdrawing = false;
    if (
      this.#desiredRecord !== undefined &&
      isSameRecord(this.#desiredRecord, record)
    ) {
      return;
    }
    this.#desiredRecord = record;
    this.#wakeUp();
  }

  /**
   * Removes the record of this node from the store.
   *
   * @param departure Worker that has left, which the store keeps in place of the
   * record; undefined if none has.
   * @returns Resolves when the store has removed it.
   */
  withdraw(departure?: WorkerDeparture): Promise<void> {
    this.#isWithdrawing = true;
    this.#desiredDeparture = departure;
    this.#desiredRecord = undefined;
    return new Promise((resolve) => {
      this.#withdrawalListeners.push(resolve);
      this.#wakeUp();
    });
  }

  /** Ends the tasks after their current call to the store. */
  close(): void {
    this.#isClosed = true;
    this.#follower.close();
    this.#wakeUp();
  }

  #learn(stored: StoredDeparture): void {
    const { directory, node, onOwnDeparture } = this.#options;
    if (stored.node !== node) return;
    const known = directory.positionOf(node);
    if (known !== undefined && isLater(known, stored)) return;
    const held = this.#storedDeparture;
    if (held !== undefined && !isLater(stored, held)) return;
    this.#storedDeparture = stored;
    this.#lastDeparture = stored;
    onOwnDeparture(stored.departure);
  }

  async #syncOwnRecord(): Promise<void> {
    const { availability, directory, node, store } = this.#options;
    await this.#follower.untilListed();
    let era = store.era.current;
    // A node that the first listing does not name hardly has a record. Taking
    // that for granted spares each first start a call; a record after all shows
    // as a conflict.
    let isAssumedAbsent = directory.get(node) === undefined &&
      this.#storedDeparture === undefined;
    let revision: number | undefined = isAssumedAbsent ? 0 : undefined;
    let failures = 0;
    while (!this.#isClosed) {
      try {
        if (era !== store.era.current) {
          // The listing tells which records of the new era are those of the copy.
          await this.#follower.untilListed();
          era = store.era.current;
          revision = undefined;
        }
        if (
          revision === undefined || (isAssumedAbsent && this.#isWithdrawing)
        ) {
          isAssumedAbsent = false;
          revision = await this.#readOwnRecord();
        }
        this.#hasChanged = false;
        const written = await this.#writeOwnRecord(revision);
        if (written === "unchanged") await this.#waitForWake();
        else isAssumedAbsent = false;
        revision = written === "unchanged" ? this.#heldRevision : written;
        failures = 0;
      } catch (error) {
        availability.recordFailure("own_record", error);
        revision = undefined;
        await sleep(backoffMs(failures++));
      }
    }
  }

  async #readOwnRecord(): Promise<number> {
    const { directory, node, onOwnRecord, store } = this.#options;
    const { departure, era, record, revision } = await store.readRecord(node);
    this.#storedDeparture = undefined;
    if (record !== undefined) directory.put({ record, revision, era });
    else if (departure !== undefined) {
      const stored = { node, departure, revision, era };
      directory.putDeparture(stored);
      this.#learn(stored);
    } else if (revision > 0) directory.remove(node, revision, era);
    onOwnRecord(directory.isWithheld(node) ? undefined : record);
    return revision;
  }

  // Undefined if the revision that the store holds is not known.
  get #heldRevision(): number | undefined {
    const { directory, node, store } = this.#options;
    const held = this.#storedDeparture ?? directory.positionOf(node);
    if (held === undefined) return 0;
    return eraOf(held) === store.era.current ? held.revision : undefined;
  }

  // Record that the store holds in its current era, as far as known.
  get #heldRecord(): WorkerRecord | undefined {
    const { directory, node, store } = this.#options;
    const position = directory.positionOf(node);
    return position !== undefined && eraOf(position) === store.era.current
      ? directory.get(node)
      : undefined;
  }

  // Departure that the store may have lost by coming back from an older copy.
  get #lostDeparture(): WorkerDeparture | undefined {
    const last = this.#lastDeparture;
    return last !== undefined && eraOf(last) < this.#options.store.era.current
      ? last.departure
      : undefined;
  }

  // Returns the new revision; undefined if the store holds another revision
  // than the given one.
  async #writeOwnRecord(
    revision: number,
  ): Promise<number | undefined | "unchanged"> {
    const { store, directory } = this.#options;
    const known = this.#heldRecord;
    if (this.#isWithdrawing) {
      // A withdrawal that is asked for during the write has another departure.
      const { length } = this.#withdrawalListeners;
      if (!await this.#writeWithdrawal(known, revision)) return undefined;
      this.#withdrawalListeners.splice(0, length)
        .forEach((resolve) => resolve());
      return "unchanged";
    }
    const desired = this.#desiredRecord;
    if (desired === undefined) {
      const lost = known === undefined ? this.#lostDeparture : undefined;
      return lost === undefined || await this.#writeDeparture(lost, revision)
        ? "unchanged"
        : undefined;
    }
    await this.#removePredecessors(desired.address);
    if (known !== undefined && isSameRecord(known, desired)) return "unchanged";
    const era = store.era.current;
    const written = await store.writeRecord(desired, revision);
    if (written !== undefined) {
      this.#storedDeparture = undefined;
      this.#lastDeparture = undefined;
      directory.put({ record: desired, revision: written, era });
    }
    return written;
  }

  // Returns false if the store holds another revision than the given one.
  async #writeWithdrawal(
    known: WorkerRecord | undefined,
    revision: number,
  ): Promise<boolean> {
    const { store, directory, node } = this.#options;
    const departure = this.#desiredDeparture ?? this.#lostDeparture;
    if (departure !== undefined) {
      return await this.#writeDeparture(departure, revision);
    }
    if (known === undefined && !directory.isWithheld(node)) return true;
    const era = store.era.current;
    await store.deleteRecord(node, revision);
    directory.remove(node, revision, era);
    return true;
  }

  // Returns false if the store holds another revision than the given one.
  async #writeDeparture(
    departure: WorkerDeparture,
    revision: number,
  ): Promise<boolean> {
    const { store, directory, node } = this.#options;
    if (isSameIncarnation(departure, this.#storedDeparture?.departure)) {
      return true;
    }
    const era = store.era.current;
    const written = await store.writeDeparture(node, departure, revision);
    if (written === undefined) return false;
    const stored = { node, departure, revision: written, era };
    this.#storedDeparture = stored;
    this.#lastDeparture = stored;
    directory.putDeparture(stored);
    return true;
  }

  // Removes the records of hosts that previously had the address of this one.
  async #removePredecessors(address: string): Promise<void> {
    const { store, directory, log, node } = this.#options;
    const era = store.era.current;
    const stale = directory.records.filter((stored) =>
      stored.record.address === address && stored.record.node !== node &&
      eraOf(stored) === era
    );
    for (const { record, revision } of stale) {
      await store.deleteRecord(record.node, revision);
      directory.remove(record.node, revision, era);
      log.write("info", "predecessor_removed", { peer: record.node, address });
    }
  }

  #wakeUp(): void {
    this.#hasChanged = true;
    this.#wake?.();
  }

  // Returns at once if something changed while the record was compared.
  #waitForWake(): Promise<void> {
    if (this.#hasChanged) return Promise.resolve();
    return new Promise((resolve) => {
      this.#wake = () => {
        this.#wake = undefined;
        resolve();
      };
    });
  }
}

// Without its start, a worker that left much earlier is another one.
function isSameIncarnation(
  one: WorkerDeparture,
  other: WorkerDeparture | undefined,
): boolean {
  return one.workerId === other?.workerId &&
    one.startedAt === other.startedAt &&
    (one.startedAt !== UNKNOWN_START ||
      one.leftAt - other.leftAt < LATE_HEARTBEAT_MS);
}
