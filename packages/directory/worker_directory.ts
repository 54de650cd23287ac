import type { StoredRecord, WorkerRecord } from "./worker_record.ts";

/** Called with the name of a node whose record was changed or removed. */
export type DirectoryListener = (node: string) => void;

/**
 * Records of the workers of all services, as this node has received them. They
 * come from the platform's store and, while it is unavailable, from other
 * nodes. The store's revisions determine which of two records is newer.
 */
export class WorkerDirectory {
  readonly #entries = new Map<string, StoredRecord>();
  /** Revisions of the store at which records were deleted, by node. */
  readonly #removedAt = new Map<string, number>();
  readonly #byService = new Map<string, WorkerRecord[]>();
  readonly #listeners: DirectoryListener[] = [];

  /** All records with their revisions, to be sent to another node. */
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

  /** Returns the revision of the record of one node; 0 if there is none. */
  revisionOf(node: string): number {
    return this.#entries.get(node)?.revision ?? 0;
  }

  /** Returns the records of the workers of a service. */
  ofService(service: string): readonly WorkerRecord[] {
    return this.#byService.get(service) ?? [];
  }

  /**
   * Stores a record, unless the known record of its node, or its known removal,
   * is as new or newer.
   *
   * @param stored Record with its revision.
   * @returns Whether the record was stored.
   */
  put(stored: StoredRecord): boolean {
    const { record, revision } = stored;
    if (revision <= (this.#removedAt.get(record.node) ?? -1)) return false;
    const known = this.#entries.get(record.node);
    if (known !== undefined && revision <= known.revision) return false;
    this.#removedAt.delete(record.node);
    this.#entries.set(record.node, stored);
    this.#rebuildServiceIndex();
    this.#notify(record.node);
    return true;
  }

  /**
   * Removes the record of a node, unless a newer one is known.
   *
   * @param node Name of the node.
   * @param revision Revision of the store at which the record was deleted.
   */
  remove(node: string, revision: number): void {
    const known = this.#entries.get(node);
    if (known !== undefined && known.revision > revision) return;
    this.#removedAt.set(node, revision);
    if (known === undefined) return;
    this.#entries.delete(node);
    this.#rebuildServiceIndex();
    this.#notify(node);
  }

  /**
   * Removes the records that a complete listing of the store does not contain
   * and stores those that it contains. Newer records remain.
   *
   * @param listing Records of all nodes.
   * @param revision Revision of the store at which they were listed.
   */
  replaceAll(listing: readonly StoredRecord[], revision: number): void {
    const listed = new Set(listing.map(({ record }) => record.node));
    [...this.#entries.values()]
      .filter((entry) => !listed.has(entry.record.node))
      .forEach((entry) => this.remove(entry.record.node, revision));
    listing.forEach((stored) => this.put(stored));
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
