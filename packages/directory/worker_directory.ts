import { DepartedWorkerIds } from "./_departed_worker_ids.ts";
import { eraOf, isLater, type StorePosition } from "./store_era.ts";
import type {
  StoredDeparture,
  StoredRecord,
  WorkerRecord,
} from "./worker_record.ts";

/** Position before those of all records. */
const NOWHERE: StorePosition = { revision: -1 };

/** Called with the name of a node whose record was changed or removed. */
export type DirectoryListener = (node: string) => void;

/** What else is known about a complete listing of the store. */
export interface ListingOptions {
  /** Era of the listing; 0 if omitted. */
  readonly era?: number | undefined;
  /** Departures that the store holds in place of records. */
  readonly departures?: readonly StoredDeparture[];
  /**
   * Whether records of an earlier era that the listing does not contain stay, since
   * their nodes may not have written them again yet.
   */
  readonly keepsEarlierEras?: boolean;
}

/**
 * Records of the workers of all services, as this node has received them. They
 * come from the platform's store and, while it is unavailable, from other
 * nodes. The store's revisions determine which of two records of one era is
 * newer; a record of an earlier era is replaced by what the store itself holds in
 * a later one.
 */
export class WorkerDirectory {
  readonly #entries = new Map<string, StoredRecord>();
  /** Positions at which records were deleted, by node. */
  readonly #removedAt = new Map<string, StorePosition>();
  readonly #departed = new DepartedWorkerIds();
  /** Records of the current era whose worker had left in an earlier one. */
  readonly #withheld = new Map<string, StoredRecord>();
  /** Position of the first complete listing of the current era. */
  #listedAt: StorePosition | undefined;
  readonly #byService = new Map<string, WorkerRecord[]>();
  readonly #listeners: DirectoryListener[] = [];

  /** All records with their positions, to be sent to another node. */
  get records(): readonly StoredRecord[] {
    return [...this.#entries.values()];
  }

  /** Number of nodes that have a record. */
  get size(): number {
    return this.#entries.size;
  }

  /** Registers a listener that is called after each change of a record. */
  onChange(listener: DirectoryListener): void {
    this.#listeners.push(listener);
  }

  /** Returns the record of one node, if there is one. */
  get(node: string): WorkerRecord | undefined {
    return this.#entries.get(node)?.record;
  }

  /** Returns the position of the record of one node, if there is one. */
  positionOf(node: string): StorePosition | undefined {
    return this.#entries.get(node);
  }

  /**
   * Returns whether the store holds a record of a node that is not used, because
   * its worker had left before the store came back from an older copy.
   */
  isWithheld(node: string): boolean {
    return this.#withheld.has(node);
  }

  /** Returns the records of the workers of a service. */
  ofService(service: string): readonly WorkerRecord[] {
    return this.#byService.get(service) ?? [];
  }

  /**
   * Stores a record of the store, unless the known record of its node, or its known
   * removal, is as new or newer, or its worker had left in an earlier era.
   *
   * @param stored Record with its position.
   * @returns Whether the record was stored.
   */
  put(stored: StoredRecord): boolean {
    const { record, revision } = stored;
    const { node } = record;
    if (this.#isBeforeListing(stored) || !this.#isNews(stored)) return false;
    if (this.#hasLeft(stored)) {
      this.#withheld.set(node, stored);
      return false;
    }
    this.#departed.forget(node, record.workerId);
    this.#withheld.delete(node);
    this.#removedAt.delete(node);
    this.#entries.set(node, { record, ...positionFields(stored, revision) });
    this.#rebuildServiceIndex();
    this.#notify(node);
    return true;
  }

  /**
   * Stores a record that a peer has sent, as {@linkcode put} does. What is known of
   * its node from an earlier era stays, since the peer may have the record of an
   * older copy that its node has not yet replaced.
   *
   * @param stored Record with its position.
   * @returns Whether the record was stored.
   */
  putFromPeer(stored: StoredRecord): boolean {
    const { node } = stored.record;
    const known = this.#entries.get(node) ?? this.#removedAt.get(node);
    const isEarlier = known !== undefined && eraOf(known) < eraOf(stored);
    if (isEarlier && this.#listedAt !== undefined) return false;
    return !this.#hasLeft(stored) && this.put(stored);
  }

  /**
   * Removes the record of a node, unless a newer one is known.
   *
   * @param node Name of the node.
   * @param revision Revision of the store at which the record was deleted.
   * @param era Era of that revision.
   */
  remove(node: string, revision: number, era = 0): void {
    const position = { revision, era };
    const known = this.#entries.get(node);
    if (this.#isBeforeListing(position)) return;
    if (known !== undefined && isLater(known, position)) return;
    if (isLater(position, this.#removedAt.get(node) ?? NOWHERE)) {
      this.#removedAt.set(node, position);
    }
    this.#withheld.delete(node);
    this.#delete(node);
  }

  /**
   * Removes the record of a node whose worker has left, unless a newer one is
   * known. A record of that worker from an older copy of the store is not used
   * either. The record of another worker from an earlier era stays, since the
   * departure may be that of an older copy.
   */
  putDeparture(stored: StoredDeparture): void {
    const { departure: { workerId }, node, revision } = stored;
    const known = this.#entries.get(node);
    if (known !== undefined && isLater(known, stored)) return;
    this.#departed.add(node, { workerId, ...positionFields(stored, revision) });
    const isOfOther = known !== undefined && known.record.workerId !== workerId;
    if (isOfOther && eraOf(known) < eraOf(stored)) return;
    this.remove(node, revision, eraOf(stored));
  }

  /**
   * Removes the records that a complete listing of the store does not contain
   * and stores those that it contains. Newer records remain.
   *
   * @param listing Records of all nodes.
   * @param revision Revision of the store at which they were listed.
   * @param options Era of the listing and departures.
   */
  replaceAll(
    listing: readonly StoredRecord[],
    revision: number,
    { departures = [], era = 0, keepsEarlierEras = false }: ListingOptions = {},
  ): void {
    const position = { revision, era };
    if (this.#isBeforeListing(position)) return;
    if (this.#listedAt === undefined || eraOf(this.#listedAt) < era) {
      this.#listedAt = position;
    }
    const listed = new Set(listing.map(({ record }) => record.node));
    const left = new Set(
      departures.map(({ departure, node }) => `${node} ${departure.workerId}`),
    );
    this.records.filter(({ record }) => !listed.has(record.node))
      .filter((entry) =>
        !keepsEarlierEras || eraOf(entry) >= era ||
        left.has(`${entry.record.node} ${entry.record.workerId}`)
      )
      .forEach(({ record }) => this.remove(record.node, revision, era));
    [...this.#withheld.keys()].filter((node) => !listed.has(node))
      .forEach((node) => this.#withheld.delete(node));
    departures.forEach((stored) => this.putDeparture(stored));
    listing.forEach((stored) => this.put(stored));
  }

  /**
   * Removes the records of earlier eras, which their nodes have not written again.
   *
   * @param revision Revision of the current era up to which changes are known.
   */
  removeEarlierEras(revision: number): void {
    const era = eraOf(this.#listedAt ?? { revision });
    this.records.filter((entry) => eraOf(entry) < era)
      .forEach(({ record }) => this.remove(record.node, revision, era));
  }

  /**
   * Stores the withheld records. A worker that has left and whose record the store
   * still holds after a while has either started again, or its node refuses its
   * calls.
   */
  releaseWithheld(): void {
    [...this.#withheld.values()].forEach((stored) => {
      this.#departed.forget(stored.record.node, stored.record.workerId);
      this.put(stored);
    });
    this.#withheld.clear();
  }

  #isBeforeListing(position: StorePosition): boolean {
    return this.#listedAt !== undefined &&
      eraOf(position) < eraOf(this.#listedAt);
  }

  #isNews(stored: StoredRecord): boolean {
    const { node, workerId } = stored.record;
    const left = this.#departed.get(node, workerId) ?? NOWHERE;
    return [
      this.#entries.get(node) ?? NOWHERE,
      this.#removedAt.get(node) ?? NOWHERE,
      eraOf(left) < eraOf(stored) ? NOWHERE : left,
    ].every((known) => isLater(stored, known));
  }

  // Returns whether the worker of a record had left in an earlier era. One that was
  // written since the first listing of its own era has started again.
  #hasLeft(stored: StoredRecord): boolean {
    const { node, workerId } = stored.record;
    const left = this.#departed.get(node, workerId);
    if (left === undefined || eraOf(left) >= eraOf(stored)) return false;
    const listed = this.#listedAt ?? NOWHERE;
    return eraOf(listed) < eraOf(stored) || !isLater(stored, listed);
  }

  #delete(node: string): void {
    if (!this.#entries.delete(node)) return;
    this.#rebuildServiceIndex();
    this.#notify(node);
  }

  #rebuildServiceIndex(): void {
    this.#byService.clear();
    for (const { record } of this.#entries.values()) {
      const list = this.#byService.get(record.service);
      if (list === undefined) this.#byService.set(record.service, [record]);
      else list.push(record);
    }
  }

  #notify(node: string): void {
    this.#listeners.forEach((listener) => listener(node));
  }
}

// Earlier releases send and expect no era.
function positionFields(
  position: StorePosition,
  revision: number,
): StorePosition {
  const era = eraOf(position);
  return era === 0 ? { revision } : { revision, era };
}
