import { createHash } from "node:crypto";
import type { PolicyView } from "@oleanderdeck/agreement";
import type { EventLog } from "@oleanderdeck/observability";
import {
  DocumentReplica,
  type DocumentVersionCopy,
} from "./document_replica.ts";
import { isDocumentName } from "./stored_document.ts";

/** Options of {@linkcode ConfigurationReplica}. */
export interface ConfigurationReplicaOptions {
  /**
   * Builds the lookup from all documents that are not deleted. It may throw
   * when a document is not valid; the earlier version of that document then
   * stays active.
   */
  readonly compile: (
    documents: readonly DocumentVersionCopy[],
  ) => PolicyView;
  /** Receives events about documents that cannot be compiled. */
  readonly log?: EventLog;
}

/**
 * Documents that a node holds, with the lookup compiled from them. The lookup
 * is rebuilt at the first use after a change, so that accepting many documents
 * at once costs one compilation.
 */
export class ConfigurationReplica extends DocumentReplica {
  readonly #options: ConfigurationReplicaOptions;
  readonly #held = new Map<string, DocumentVersionCopy>();
  /** Active versions, which the view was built from, by document name. */
  readonly #active = new Map<string, DocumentVersionCopy>();
  /** Documents accepted since the view was built, by document name. */
  readonly #pending = new Map<string, DocumentVersionCopy>();
  readonly #listeners = new Set<(copy: DocumentVersionCopy) => void>();
  #view: PolicyView;
  #highestVersion = 0;
  #observedVersion = 0;
  #completeVersion = 0;
  #digest = 0n;
  #loaded = false;
  #ready = false;

  /**
   * @param options The function that compiles documents, and the log.
   * @throws {Error} If the compilation fails without any document.
   */
  constructor(options: ConfigurationReplicaOptions) {
    super();
    this.#options = options;
    this.#view = options.compile([]);
  }

  view(): PolicyView {
    if (this.#pending.size > 0) this.#rebuildView();
    return this.#view;
  }

  documents(): readonly DocumentVersionCopy[] {
    return [...this.#held.values()];
  }

  /** Returns the document with a name, also if it is deleted. */
  find(name: string): DocumentVersionCopy | undefined {
    return this.#held.get(name);
  }

  /**
   * Returns the active version of a document, which the view is built from; 0
   * if there is none.
   */
  activeVersion(name: string): number {
    this.view();
    return this.#active.get(name)?.version ?? 0;
  }

  highestVersion(): number {
    return this.#highestVersion;
  }

  digest(): bigint {
    return this.#digest;
  }

  isReady(): boolean {
    return this.#ready;
  }

  /** Returns the highest version that this node holds or was informed of. */
  highestKnownVersion(): number {
    return Math.max(this.#observedVersion, this.#highestVersion);
  }

  /**
   * Records that a version exists. A node that is not ready yet becomes ready
   * only when it holds a version at least that high.
   */
  observeVersion(version: number): void {
    if (version > this.#observedVersion) this.#observedVersion = version;
  }

  /**
   * Returns the version up to which this node held all documents that the
   * store, or a peer with the same digest, had at that time. A comparison with
   * a peer starts from it, so that the request need not list all documents.
   */
  completeVersion(): number {
    return this.#completeVersion;
  }

  /** Records that this node holds all documents up to a version. */
  markComplete(version: number): void {
    if (version > this.#completeVersion) this.#completeVersion = version;
  }

  /**
   * Records that all documents were read from the store or from peers. The
   * replica is ready from then on, or as soon as it holds the highest version
   * that this node was informed of, and stays ready.
   */
  markLoaded(): void {
    this.#loaded = true;
    this.#updateReady();
  }

  accept(copy: DocumentVersionCopy): boolean {
    return this.acceptAll([copy]) > 0;
  }

  /**
   * Accepts those documents that are newer than the ones held, and then calls
   * the listeners for each of them.
   *
   * @returns The number of documents accepted.
   */
  acceptAll(copies: readonly DocumentVersionCopy[]): number {
    const accepted = copies.filter((copy) => this.#acceptOne(copy));
    this.#updateReady();
    for (const copy of accepted) {
      for (const listener of this.#listeners) this.#notify(listener, copy);
    }
    return accepted.length;
  }

  onChange(listener: (copy: DocumentVersionCopy) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Calls a listener and logs its error, which must not stop the task that
   * passed the document to the replica.
   */
  #notify(
    listener: (copy: DocumentVersionCopy) => void,
    copy: DocumentVersionCopy,
  ): void {
    try {
      listener(copy);
    } catch (error) {
      this.#options.log?.write("error", "document_listener_failed", {
        name: copy.name,
        version: copy.version,
        error: error instanceof Error ? error.message : String(error),
      });
    }
  }

  #acceptOne(copy: DocumentVersionCopy): boolean {
    const held = this.#held.get(copy.name);
    if (!isDocumentName(copy.name) || copy.version <= (held?.version ?? 0)) {
      return false;
    }
    this.#held.set(copy.name, copy);
    this.#pending.set(copy.name, copy);
    if (held !== undefined) this.#digest ^= hashVersion(held);
    this.#digest ^= hashVersion(copy);
    this.#highestVersion = Math.max(this.#highestVersion, copy.version);
    return true;
  }

  #updateReady(): void {
    if (this.#loaded && this.#highestVersion >= this.#observedVersion) {
      this.#ready = true;
    }
  }

  #rebuildView(): void {
    const pending = [...this.#pending.values()];
    this.#pending.clear();
    if (this.#compileWith(pending) === undefined) return;
    // Compiles the documents one by one, so that an invalid one does not keep
    // the others from becoming active.
    for (const copy of pending) {
      const error = this.#compileWith([copy]);
      if (error === undefined) continue;
      this.#options.log?.write("error", "document_not_compiled", {
        name: copy.name,
        version: copy.version,
        version_in_force: this.#active.get(copy.name)?.version ?? 0,
        error: error.message,
      });
    }
  }

  /**
   * Rebuilds the view from the active documents and further ones, which become
   * active.
   *
   * @returns The error if the compilation fails; the view is then unchanged.
   */
  #compileWith(copies: readonly DocumentVersionCopy[]): Error | undefined {
    const documents = new Map(this.#active);
    for (const copy of copies) documents.set(copy.name, copy);
    try {
      this.#view = this.#options.compile(
        [...documents.values()].filter(({ deleted }) => !deleted),
      );
    } catch (error) {
      return error instanceof Error ? error : new Error(String(error));
    }
    for (const copy of copies) this.#active.set(copy.name, copy);
    return undefined;
  }
}

/**
 * Returns the hash of a name and a version. The digest of all documents is the
 * exclusive or of these hashes, so it does not depend on the order in which the
 * documents were accepted.
 */
function hashVersion({ name, version }: DocumentVersionCopy): bigint {
  return createHash("sha256")
    .update(`${version} ${name}`)
    .digest()
    .readBigUInt64BE(0);
}
