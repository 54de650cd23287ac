import type { StoredRecord, WorkerRecord } from "./worker_record.ts";

/** Called with the name of a node whose record has changed or is gone. */
export type DirectoryListener = (node: string) => void;

/**
 * Workers of all services as this node knows them. Records come from the
 * platform's store and, while it is away, from other nodes; the revision of the
 * store orders them.
 */
export class WorkerDirectory {
  readonly #entries = new Map<string, StoredRecord>();
  readonly #removed = new Map<string, number>();
  readonly #byService = new Map<string, WorkerRecord[]>();
  readonly #listeners: DirectoryListener[] = [];

  /** All records with their revisions, to pass on to another node. */
  get records(): readonly StoredRecord[] {
    return [...this.#entries.values()];
  }

  /** Number of known nodes. */
  get size(): number {
    return this.#entries.size;
  }

  /** Calls a function after each change. */
  onChange(listener: DirectoryListener): void {
    this.#listeners.push(listener);
  }

  /** Record of one node. */
  get(node: string): WorkerRecord | undefined {
    return this.#entries.get(node)?.record;
  }

  /** Revision of the record of one node; 0 if there is none. */
  revisionOf(node: string): number {
    return this.#entries.get(node)?.revision ?? 0;
  }

  /** Records of the workers of a service. */
  ofService(service: string): readonly WorkerRecord[] {
    return this.#byService.get(service) ?? [];
  }

  /** Takes a record unless a newer one of the same node is known. */
  put(stored: StoredRecord): boolean {
    const { record, revision } = stored;
    if (revision <= (this.#removed.get(record.node) ?? -1)) return false;
    const known = this.#entries.get(record.node);
    if (known !== undefined && revision <= known.revision) return false;
    this.#removed.delete(record.node);
    this.#entries.set(record.node, stored);
    this.#index();
    this.#notify(record.node);
    return true;
  }

  /** Forgets a node whose record was deleted at a revision of the store. */
  remove(node: string, revision: number): void {
    const known = this.#entries.get(node);
    if (known !== undefined && known.revision > revision) return;
    this.#removed.set(node, revision);
    if (known === undefined) return;
    this.#entries.delete(node);
    this.#index();
    this.#notify(node);
  }

  /** Replaces all records by a complete listing of the store. */
  replaceAll(listing: readonly StoredRecord[], revision: number): void {
    const listed = new Set(listing.map(({ record }) => record.node));
    [...this.#entries.values()]
      .filter((entry) => !listed.has(entry.record.node))
      .forEach((entry) => this.remove(entry.record.node, revision));
    listing.forEach((stored) => this.put(stored));
  }

  #index(): void {
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
